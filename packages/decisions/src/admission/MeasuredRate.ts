import type { Millis } from '@camphorvane/core';

/**
 * Time constant of the decay of a measurement that has been outdated by time without counting, in
 * milliseconds: capacity that was measured half a minute ago may have changed since.
 */
const STALE_DECAY_MS: Millis = 10_000;

/** Units counted, and the time in which they were counted. */
export interface RateSample {
  readonly units: number;
  readonly ms: Millis;
}

/**
 * Measures how many units occur per millisecond, with exponential decay.
 *
 * Only time in which the measurement is on counts. The drain rate of a queue is measured only while work is
 * queued: without a queue it would show the arrival rate instead of the capacity, and a burst after an idle
 * hour would be refused without need. Thermal throttling of engines lowers the rate within seconds, without
 * a report of it.
 */
export class MeasuredRate {
  private units = 0;

  private measuredMs: Millis = 0;

  private updatedAt: Millis | undefined;

  private isCounting = false;

  private readonly decayMs: Millis;

  /** @param decayMs - Time constant of the decay, in milliseconds of counting. */
  constructor(decayMs: Millis) {
    this.decayMs = decayMs;
  }

  /**
   * Advances the measurement to the present time.
   *
   * @param now - Present time.
   * @param isCounting - Whether time and units count from now on; unchanged by default.
   */
  advance(now: Millis, isCounting = this.isCounting): void {
    const elapsedMs = this.isCounting && this.updatedAt !== undefined ? now - this.updatedAt : 0;
    const decay = Math.exp(-elapsedMs / this.decayMs);
    this.units *= decay;
    this.measuredMs = this.measuredMs * decay + elapsedMs;
    this.updatedAt = now;
    this.isCounting = isCounting;
  }

  /** Records units; those that occur while the measurement is off do not count. */
  record(units: number): void {
    if (this.isCounting) this.units += units;
  }

  /** Gets the measurement as of the last call of {@link MeasuredRate.advance}. */
  getMeasured(): RateSample {
    return { units: this.units, ms: this.measuredMs };
  }

  /**
   * Gets the measurement at the present time: with the time since the last call of
   * {@link MeasuredRate.advance} while the measurement is on, and outdated by that time otherwise.
   */
  getSample(now: Millis): RateSample {
    const elapsedMs = Math.max(0, now - (this.updatedAt ?? now));
    if (this.isCounting) {
      const decay = Math.exp(-elapsedMs / this.decayMs);
      return { units: this.units * decay, ms: this.measuredMs * decay + elapsedMs };
    }
    const decay = Math.exp(-elapsedMs / STALE_DECAY_MS);
    return { units: this.units * decay, ms: this.measuredMs * decay };
  }
}
