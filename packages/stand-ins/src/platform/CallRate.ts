import type { Clock, Millis } from '@camphorvane/core';

const SECOND_MS = 1000;

/** A rate limit with a burst of one second, as the platform's service has it. */
export class CallRate {
  private available: number;

  private at: Millis;

  constructor(
    private readonly clock: Clock,
    perSecond: number,
  ) {
    this.available = perSecond;
    this.at = clock.now();
  }

  /**
   * Takes one call.
   *
   * @param perSecond - The rate in force.
   * @returns Milliseconds to wait before the next try, or undefined where the call may go ahead.
   */
  take(perSecond: number): Millis | undefined {
    const now = this.clock.now();
    const accrued = ((now - this.at) / SECOND_MS) * perSecond;
    this.available = Math.min(perSecond, this.available + accrued);
    this.at = now;
    if (this.available < 1) {
      return Math.ceil(((1 - this.available) / Math.max(1, perSecond)) * SECOND_MS);
    }
    this.available -= 1;
    return undefined;
  }
}
