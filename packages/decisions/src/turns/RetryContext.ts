import type { Millis } from '@camphorvane/core';

/** What a refusal needs to know of a request to schedule the retry of its caller. */
export interface RetryContext {
  /** Lower goes first. */
  readonly priority: number;
  /** Estimated milliseconds since the caller's first attempt; 0 for an apparent first attempt. */
  readonly ageMs: Millis;
  /** Milliseconds that the caller will still wait. */
  readonly leftMs: Millis;
  /** Latency target of the route, in milliseconds. */
  readonly targetMs: Millis;
}
