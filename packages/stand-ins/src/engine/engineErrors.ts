import type { UpstreamError } from '@camphorvane/upstream';

/** The error of an upstream that nobody listens for. */
export const REFUSED: UpstreamError = {
  type: 'unreachable',
  dispatched: false,
  message: 'connection refused',
};

/**
 * Makes the error of a command that the upstream did not run.
 *
 * @param message - Why it did not.
 * @returns The error.
 */
export function rejected(message: string): UpstreamError {
  return { type: 'rejected', dispatched: false, message };
}
