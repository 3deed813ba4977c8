import type { IncomingMessage } from 'node:http';
import type { Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Headers whose doubling makes two readers of one request disagree about it. */
const SINGLE_HEADERS = [
  'host',
  'content-length',
  'transfer-encoding',
  'authorization',
  'content-type',
  'idempotency-key',
];

/** Headers of callers that may reach a plain service; everything else stays here. */
const PASSED_HEADERS = new Set([
  'accept',
  'accept-language',
  'content-type',
  'idempotency-key',
  'if-match',
  'if-none-match',
  'traceparent',
  'tracestate',
  'user-agent',
]);

const BEARER = /^Bearer ([\x21-\x7e]{8,512})$/i;

/** Longest Idempotency-Key accepted. */
const MAX_IDEMPOTENCY_KEY = 255;

/**
 * Refuses requests that two readers could understand in different ways.
 *
 * @param req - The request.
 * @returns Nothing, or a refusal that names the header.
 */
export function checkHeaders(req: IncomingMessage): Result<void, Refusal> {
  const names = req.rawHeaders.filter((_, index) => index % 2 === 0).map((n) => n.toLowerCase());
  const doubled = SINGLE_HEADERS.find((name) => names.filter((n) => n === name).length > 1);
  if (doubled !== undefined) {
    return err(notRun('bad_request', `The header ${doubled} is there more than once.`));
  }
  if (names.includes('content-length') && names.includes('transfer-encoding')) {
    return err(notRun('bad_request', 'Content-Length and Transfer-Encoding exclude each other.'));
  }
  const key = req.headers['idempotency-key'];
  if (typeof key === 'string' && (key.length === 0 || key.length > MAX_IDEMPOTENCY_KEY)) {
    return err(
      notRun('bad_request', `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY} characters.`),
    );
  }
  return ok(undefined);
}

/**
 * Gets the key that a caller shows in its Authorization header.
 *
 * @param req - The request.
 * @returns The key, or undefined where there is none in that place.
 */
export function keyOf(req: IncomingMessage): string | undefined {
  return BEARER.exec(req.headers.authorization ?? '')?.[1];
}

/**
 * Refuses a request that repeats its key outside the Authorization header.
 *
 * A key in a query, another header or the body would travel on to an upstream and into its logs,
 * and whoever reads those could act as the team.
 *
 * @param key - The key, if there is one.
 * @param req - The request.
 * @param body - Its body.
 * @returns Nothing, or a refusal.
 */
export function checkKeyPlaces(
  key: string | undefined,
  req: IncomingMessage,
  body: Buffer,
): Result<void, Refusal> {
  if (key === undefined) return ok(undefined);
  const elsewhere = Object.entries(req.headers)
    .filter(([name]) => name !== 'authorization')
    .some(([, value]) => String(value).includes(key));
  const inUrl = decodeSafely(req.url ?? '').includes(key);
  if (elsewhere || inUrl || body.includes(key)) {
    return err(notRun('bad_request', 'The key may stand only in the Authorization header.'));
  }
  return ok(undefined);
}

/**
 * Gets the headers of a request that may reach a plain service.
 *
 * @param req - The request.
 * @returns Lower-case names and values.
 */
export function passedHeaders(req: IncomingMessage): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(req.headers)
      .filter(([name]) => PASSED_HEADERS.has(name))
      .map(([name, value]) => [name, String(value)]),
  );
}

/**
 * Checks the path of a service call.
 *
 * Dot segments, doubled slashes and backslashes are read differently by different servers, so a
 * path could match an idempotent route here and reach another one there.
 *
 * @param path - Path and query below the service.
 * @returns The path, or a refusal.
 */
export function checkServicePath(path: string): Result<string, Refusal> {
  const [pathname = ''] = path.split('?');
  const decoded = decodeSafely(pathname);
  const strange = /\/\/|\\|\p{Cc}|(^|\/)\.{1,2}(\/|$)|%2f|%5c|%00/iu;
  if (!path.startsWith('/') || strange.test(decoded) || strange.test(pathname)) {
    return err(notRun('bad_request', 'The path has segments that servers read differently.'));
  }
  return ok(path);
}

function decodeSafely(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
