import type { IncomingMessage } from 'node:http';
import type { Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Headers that must not be repeated: HTTP parsers disagree about which value applies. */
const SINGLE_HEADERS = [
  'host',
  'content-length',
  'transfer-encoding',
  'authorization',
  'content-type',
  'idempotency-key',
];

/** Request headers that are forwarded to a plain service; all others are dropped. */
const FORWARDED_HEADERS = new Set([
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

/** Longest Idempotency-Key accepted, in characters. */
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/**
 * Refuses requests that two HTTP parsers could interpret differently (request smuggling).
 *
 * @param req - The request.
 * @returns Nothing, or a refusal that names the header.
 */
export function checkHeaders(req: IncomingMessage): Result<void, Refusal> {
  const names = req.rawHeaders.filter((_, index) => index % 2 === 0).map((n) => n.toLowerCase());
  const repeated = SINGLE_HEADERS.find((name) => names.filter((n) => n === name).length > 1);
  if (repeated !== undefined) {
    return err(notRun('bad_request', `The header ${repeated} is repeated.`));
  }
  if (names.includes('content-length') && names.includes('transfer-encoding')) {
    return err(
      notRun('bad_request', 'Content-Length and Transfer-Encoding are mutually exclusive.'),
    );
  }
  const key = req.headers['idempotency-key'];
  if (typeof key === 'string' && (key.length === 0 || key.length > MAX_IDEMPOTENCY_KEY_LENGTH)) {
    return err(
      notRun(
        'bad_request',
        `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`,
      ),
    );
  }
  return ok(undefined);
}

/**
 * Gets the caller's key from the Authorization header.
 *
 * @param req - The request.
 * @returns The key, or undefined without a well-formed bearer token.
 */
export function extractKey(req: IncomingMessage): string | undefined {
  return BEARER.exec(req.headers.authorization ?? '')?.[1];
}

/**
 * Refuses a request that contains its key outside the Authorization header.
 *
 * A key in the query, another header or the body would leak to an upstream and its logs, whose readers
 * could act as the team.
 *
 * @param key - The caller's key; undefined without one.
 * @param req - The request.
 * @param body - Its body.
 * @returns Nothing, or a refusal.
 */
export function checkKeyLeak(
  key: string | undefined,
  req: IncomingMessage,
  body: Buffer,
): Result<void, Refusal> {
  if (key === undefined) return ok(undefined);
  const inOtherHeader = Object.entries(req.headers)
    .filter(([name]) => name !== 'authorization')
    .some(([, value]) => String(value).includes(key));
  const inUrl = decodeSafely(req.url ?? '').includes(key);
  if (inOtherHeader || inUrl || body.includes(key)) {
    return err(notRun('bad_request', 'The key is allowed only in the Authorization header.'));
  }
  return ok(undefined);
}

/**
 * Gets the request headers that are forwarded to a plain service.
 *
 * @param req - The request.
 * @returns Lower-case names and values.
 */
export function selectForwardedHeaders(req: IncomingMessage): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(req.headers)
      .filter(([name]) => FORWARDED_HEADERS.has(name))
      .map(([name, value]) => [name, String(value)]),
  );
}

/**
 * Validates the path of a service call.
 *
 * Servers normalize dot segments, repeated slashes and backslashes differently, so a path could match an
 * idempotent route here and reach another route on the server.
 *
 * @param path - Path and query below the service.
 * @returns The path, or a refusal.
 */
export function checkServicePath(path: string): Result<string, Refusal> {
  const [pathname = ''] = path.split('?');
  const decoded = decodeSafely(pathname);
  const ambiguous = /\/\/|\\|\p{Cc}|(^|\/)\.{1,2}(\/|$)|%2f|%5c|%00/iu;
  if (!path.startsWith('/') || ambiguous.test(decoded) || ambiguous.test(pathname)) {
    return err(notRun('bad_request', 'The path has segments that servers normalize differently.'));
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
