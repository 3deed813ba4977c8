import type { StopReason } from './ProgressDeadline.ts';
import type { UpstreamError } from './ModelEngine.ts';

/** Error codes that occur only while a connection is made, so that nothing was sent yet. */
const BEFORE_SENDING = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Gets the upstream error for what a call threw.
 *
 * `dispatched` is false only for errors that can't occur once a byte of the request has been
 * sent: after that the upstream may have run the work even though no answer came.
 *
 * @param thrown - What undici threw.
 * @param stop - Why the call was ended from this side, if it was.
 * @returns The typed error.
 */
export function toUpstreamError(thrown: unknown, stop: StopReason | undefined): UpstreamError {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  if (stop === 'silent') return { type: 'silent', dispatched: true, message: 'no progress' };
  if (stop === 'caller') return { type: 'cancelled', dispatched: true, message: 'cancelled' };
  if (BEFORE_SENDING.has(errorCode(thrown))) {
    return { type: 'unreachable', dispatched: false, message };
  }
  return { type: 'broken', dispatched: true, message };
}

/**
 * Tells whether a try surely reached no upstream. The next one adds to nobody's load then, so that no
 * budget of repeats needs to pay for it: with a server down, all hosts together would spend theirs on
 * refused connections, and requests that could run elsewhere would be refused.
 */
export function reachedNobody(error: UpstreamError): boolean {
  return error.type === 'unreachable' && !error.dispatched && error.answered !== true;
}

function errorCode(thrown: unknown): string {
  if (typeof thrown !== 'object' || thrown === null) return '';
  const { code } = thrown as { readonly code?: unknown };
  return typeof code === 'string' ? code : '';
}
