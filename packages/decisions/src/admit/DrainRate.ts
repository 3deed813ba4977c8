import type { Millis, Tokens } from '@camphorvane/core';

/** Time constant of the exponential decay, in milliseconds during which work was queued. */
const DECAY_MS = 3_000;

/** Least measured time with queued work before an estimate is given, in milliseconds. */
const MIN_MEASURED_MS = 500;

/**
 * Measures the drain rate of the queue: the tokens of queued work placed on engines a millisecond.
 *
 * Only time with queued work counts. Without a queue the rate would show the arrival rate instead of
 * the engines' capacity, and a burst after an idle hour would be refused without need. Thermal
 * throttling of engines lowers the rate within seconds, without a report of it.
 */
export class DrainRate {
  private tokens: Tokens = 0;

  private measuredMs: Millis = 0;

  private updatedAt: Millis | undefined;

  private hasQueuedWork = false;

  /**
   * Advances the measurement to the present time.
   *
   * @param now - Present time.
   * @param hasQueuedWork - Whether work is queued from now on.
   */
  advance(now: Millis, hasQueuedWork: boolean): void {
    const elapsedMs = this.hasQueuedWork && this.updatedAt !== undefined ? now - this.updatedAt : 0;
    const decay = Math.exp(-elapsedMs / DECAY_MS);
    this.tokens *= decay;
    this.measuredMs = this.measuredMs * decay + elapsedMs;
    this.updatedAt = now;
    this.hasQueuedWork = hasQueuedWork;
  }

  /** Records tokens that were placed; those placed while no work was queued do not count. */
  recordPlaced(tokens: Tokens): void {
    if (this.hasQueuedWork) this.tokens += tokens;
  }

  /**
   * Estimates the time in which a number of queued tokens is placed.
   *
   * @param ahead - Queued tokens that are placed first.
   * @returns Milliseconds, or undefined while too little has been measured.
   */
  estimateWaitMs(ahead: Tokens): Millis | undefined {
    if (this.measuredMs < MIN_MEASURED_MS || this.tokens <= 0) return undefined;
    return (ahead * this.measuredMs) / this.tokens;
  }
}
