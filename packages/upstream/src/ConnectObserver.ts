import type { UpstreamId } from '@camphorvane/core';

/** Is told how one attempt to connect to an upstream ends; exactly one of its functions is called. */
export interface ConnectAttempt {
  readonly connected: () => void;
  readonly failed: () => void;
  /** The caller of the attempt gave it up, which shows nothing of the upstream. */
  readonly cancelled: () => void;
}

/** Is told of all connections to upstreams. */
export interface ConnectObserver {
  /**
   * Called when a connection is attempted.
   *
   * @param upstream - The upstream.
   * @param giveUp - Fails the attempt, if it is still under way.
   * @returns What is told of its end.
   */
  begin(upstream: UpstreamId, giveUp: () => void): ConnectAttempt;
}

/**
 * Gets what a connection to one upstream tells of its attempt.
 *
 * @param observer - Is told of all connections; undefined where nobody is.
 * @param upstream - The upstream.
 * @returns See {@link ConnectObserver.begin}.
 */
export function observerOf(
  observer: ConnectObserver | undefined,
  upstream: UpstreamId,
): ((giveUp: () => void) => ConnectAttempt) | undefined {
  return observer === undefined ? undefined : (giveUp) => observer.begin(upstream, giveUp);
}
