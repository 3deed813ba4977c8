import type { Clock, Millis } from '@camphorvane/core';

const SECOND_MS = 1000;

/** A token bucket with a burst of one second, like the rate limit of the platform. */
export class CallRateLimiter {
  private tokens: number;

  private refilledAt: Millis;

  constructor(
    private readonly clock: Clock,
    perSecond: number,
  ) {
    this.tokens = perSecond;
    this.refilledAt = clock.now();
  }

  /**
   * Takes a token for one call.
   *
   * @param perSecond - Current refill rate; also the capacity.
   * @returns Milliseconds until the next attempt, or undefined if the call is admitted.
   */
  take(perSecond: number): Millis | undefined {
    const now = this.clock.now();
    const accrued = ((now - this.refilledAt) / SECOND_MS) * perSecond;
    this.tokens = Math.min(perSecond, this.tokens + accrued);
    this.refilledAt = now;
    if (this.tokens < 1) {
      return Math.ceil(((1 - this.tokens) / Math.max(1, perSecond)) * SECOND_MS);
    }
    this.tokens -= 1;
    return undefined;
  }
}
