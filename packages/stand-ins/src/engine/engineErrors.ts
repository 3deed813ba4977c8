import type { UpstreamError } from '@camphorvane/upstream';

/** Error of an upstream that refuses connections. */
export const CONNECTION_REFUSED: UpstreamError = {
  type: 'unreachable',
  dispatched: false,
  message: 'connection refused',
};

/**
 * Creates the error of a command that the upstream rejected without running it.
 *
 * @param message - Reason for the rejection.
 * @returns The error.
 */
export function rejected(message: string): UpstreamError {
  return { type: 'rejected', dispatched: false, message };
}
