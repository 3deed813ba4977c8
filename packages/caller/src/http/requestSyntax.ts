import type { IncomingMessage } from 'node:http';
import type { Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** A field name of RFC 9110, section 5.1. */
const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

/** A request target without blanks, control characters or bytes outside ASCII (RFC 9112, section 3.2). */
const REQUEST_TARGET = /^[\x21-\x7e]+$/;

const VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1']);

/**
 * Refuses a request whose head is not HTTP/1.1 by RFC 9112, or whose trailers are not.
 *
 * Versions of the runtime differ in what their parser lets pass. A name such as `Authorization ` would pass the
 * checks of the header that it resembles, and another parser could take it for that header.
 *
 * @param req - The request; its trailers are known once its body has been read.
 * @returns Nothing, or a refusal that names the fault.
 */
export function checkSyntax(req: IncomingMessage): Result<void, Refusal> {
  const fault = findFault(req);
  return fault === undefined ? ok(undefined) : err(notRun('bad_request', fault));
}

function findFault({
  httpVersion,
  url,
  rawHeaders,
  rawTrailers,
}: IncomingMessage): string | undefined {
  if (!VERSIONS.has(httpVersion)) return 'Only HTTP/1.1 and HTTP/1.0 are supported.';
  if (!REQUEST_TARGET.test(url ?? '')) return 'The request target has characters outside ASCII.';
  return hasNamesOnly(rawHeaders) && hasNamesOnly(rawTrailers)
    ? undefined
    : 'A header has a name that is no token.';
}

/** Tells whether names of raw headers, which alternate with values, are tokens. */
function hasNamesOnly(rawHeaders: readonly string[]): boolean {
  return rawHeaders.every((text, index) => index % 2 === 1 || TOKEN.test(text));
}
