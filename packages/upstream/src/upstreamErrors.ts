import type { AbortReason } from './ProgressDeadline.ts';
import type { UpstreamError } from './ModelEngine.ts';
import { ResponseOverrunError } from './readBounded.ts';

/** Error codes that occur only while connecting, before anything was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Maps what a call threw to an upstream error.
 *
 * `dispatched` is false only for errors that can't occur once a byte of the request was sent; after
 * that the upstream may have run the work even without a response.
 *
 * @param thrown - What undici threw.
 * @param stop - Why the call was aborted locally; undefined if it was not.
 * @returns The typed error.
 */
export function toUpstreamError(thrown: unknown, stop: AbortReason | undefined): UpstreamError {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  if (thrown instanceof ResponseOverrunError) {
    return { type: 'broken', dispatched: true, answered: true, overrun: thrown.bound, message };
  }
  if (stop === 'silent') return { type: 'silent', dispatched: true, message: 'no progress' };
  if (stop === 'caller') return { type: 'cancelled', dispatched: true, message: 'cancelled' };
  if (CONNECT_ERROR_CODES.has(errorCode(thrown))) {
    return { type: 'unreachable', dispatched: false, message };
  }
  return { type: 'broken', dispatched: true, message };
}

/**
 * Tells whether an attempt certainly reached no upstream. Its retry adds no load and is not charged to
 * the retry budget: with a server down, refused connections would otherwise exhaust the budgets of all
 * hosts, and requests that could run elsewhere would be refused.
 *
 * @param error - How the attempt failed.
 * @returns True where nothing was sent and nothing responded.
 */
export function reachedNoUpstream(error: UpstreamError): boolean {
  return error.type === 'withheld' || hasFailedToConnect(error);
}

/**
 * Tells whether no connection to an upstream could be established, so that it may be down.
 *
 * @param error - How the attempt failed.
 * @returns True where nothing was sent and nothing responded.
 */
export function hasFailedToConnect(error: UpstreamError): boolean {
  return error.type === 'unreachable' && !error.dispatched && error.answered !== true;
}

/**
 * Tells whether an upstream seems to have crashed while it ran a request.
 *
 * @param error - How the attempt failed.
 * @returns True where its connection broke off, or where it fell silent and did not answer a probe.
 */
export function mayHaveCrashed(error: UpstreamError): boolean {
  switch (error.type) {
    case 'broken':
      return error.answered !== true;
    case 'silent':
      return error.isGone === true;
    case 'unreachable':
    case 'rejected':
    case 'withheld':
    case 'mismatch':
    case 'cancelled':
      return false;
    default:
      return error satisfies never;
  }
}

function errorCode(thrown: unknown): string {
  if (typeof thrown !== 'object' || thrown === null) return '';
  const { code } = thrown as { readonly code?: unknown };
  return typeof code === 'string' ? code : '';
}
