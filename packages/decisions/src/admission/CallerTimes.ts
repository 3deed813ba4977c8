import type { Millis } from '@camphorvane/core';

/** What is known of how long the caller of a request has waited and will wait. */
export interface CallerTimes {
  /** Estimated milliseconds since the caller's first attempt; 0 for an apparent first attempt. */
  readonly ageMs: Millis;
  /** Time at which the caller gives up. */
  readonly deadlineAt: Millis;
  /** Latency target of the route, in milliseconds. */
  readonly targetMs: Millis;
}
