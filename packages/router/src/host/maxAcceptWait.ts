import type { ForwardRoute, Millis } from '@camphorvane/core';

/** Least wait in milliseconds after which a new connection is closed, however short the timeouts of routes are. */
const MIN_ACCEPT_WAIT_MS: Millis = 500;

/**
 * Gets the longest time that a new connection may have waited to be accepted: until then some of the requests that it
 * may bring can still be answered within their timeout.
 *
 * @param routes - The configured routes.
 * @returns Milliseconds; infinite without routes.
 */
export function maxAcceptWait(routes: readonly ForwardRoute[]): Millis {
  return Math.max(MIN_ACCEPT_WAIT_MS, Math.min(...routes.map(({ timeoutMs }) => timeoutMs)));
}
