import type { Millis } from '@camphorvane/core';

/** Weight of the newest request in the mean. */
const NEWEST_WEIGHT = 0.1;

/** Mean time for which requests hold their capacity; the newest requests count most. */
export class MeanHold {
  private meanMs: Millis | undefined;

  /** Gets the mean in milliseconds; undefined before the first request has ended. */
  get(): Millis | undefined {
    return this.meanMs;
  }

  /** Records how long a request that has ended held its capacity, in milliseconds. */
  record(heldMs: Millis): void {
    const mean = this.meanMs ?? heldMs;
    this.meanMs = mean + (heldMs - mean) * NEWEST_WEIGHT;
  }
}
