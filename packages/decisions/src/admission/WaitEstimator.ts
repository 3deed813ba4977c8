import type { Millis } from '@camphorvane/core';
import type { RateSample } from './MeasuredRate.ts';
import { MeasuredRate } from './MeasuredRate.ts';

/** Milliseconds of measurement for which the prior counts. */
const PRIOR_WEIGHT_MS: Millis = 300;

/** Least measured time with queued work before an estimate without a prior is given, in milliseconds. */
const MIN_MEASURED_MS: Millis = 500;

/** Bounds of the correction of estimates. */
const CORRECTION = { min: 1 / 4, max: 4 };

/** Factor by which earlier waits lose weight with each request: some twenty requests correct an estimate. */
const WAIT_DECAY = 0.95;

/** Milliseconds of waits that count as estimated exactly at first, so that one request decides little. */
const INITIAL_WAIT_MS: Millis = 500;

/** Estimates below this, in milliseconds, are not compared with the real wait: clocks are no finer. */
const MIN_COMPARED_MS: Millis = 1;

/** Largest ratio of one request, so that a single long wait does not decide the mean. */
const MAX_RATIO = 16;

/**
 * Estimates how long a request waits in a queue, from the work ahead of it and the drain rate.
 *
 * The drain rate is measured while work is queued, and combined with a prior from the known capacity. Both
 * may be wrong, for example where later requests go first, so estimates are multiplied by the running mean
 * of the ratio of real waits to estimates, weighted by the estimates.
 */
export class WaitEstimator {
  private readonly drain: MeasuredRate;

  private priorPerMs: number | undefined;

  /** Real and estimated waits of recent requests, in milliseconds. */
  private waits: { readonly realMs: Millis; readonly estimatedMs: Millis } = {
    realMs: INITIAL_WAIT_MS,
    estimatedMs: INITIAL_WAIT_MS,
  };

  /** @param decayMs - Time constant of the measured drain rate, in milliseconds with queued work. */
  constructor(decayMs: Millis) {
    this.drain = new MeasuredRate(decayMs);
  }

  /** Gets the factor by which estimates are multiplied. */
  get correction(): number {
    const { realMs, estimatedMs } = this.waits;
    return Math.min(CORRECTION.max, Math.max(CORRECTION.min, realMs / estimatedMs));
  }

  /**
   * Sets the expected drain rate.
   *
   * @param capacity - Units that run at once; undefined where it is unknown.
   * @param meanHoldMs - Mean time for which a unit is held, in milliseconds; undefined where unknown.
   */
  setPrior(capacity: number | undefined, meanHoldMs: Millis | undefined): void {
    const isKnown = capacity !== undefined && meanHoldMs !== undefined && meanHoldMs > 0;
    this.priorPerMs = isKnown ? capacity / meanHoldMs : undefined;
  }

  /**
   * Records how much work is queued from now on.
   *
   * @param queued - Queued requests.
   * @param now - Present time.
   */
  recordQueued(queued: number, now: Millis): void {
    this.drain.advance(now, queued > 0);
  }

  /**
   * Records a request that starts, and corrects the estimates by it.
   *
   * @param waitedMs - How long it waited.
   * @param estimatedMs - Its estimate without correction; undefined where none was made.
   * @param units - Its units.
   * @param now - Present time.
   */
  recordStarted(
    waitedMs: Millis,
    estimatedMs: Millis | undefined,
    units: number,
    now: Millis,
  ): void {
    this.drain.advance(now);
    this.drain.record(units);
    this.recordWait(waitedMs, estimatedMs);
  }

  /**
   * Corrects the estimates by a real wait.
   *
   * @param waitedMs - The real wait.
   * @param estimatedMs - The estimate without correction; undefined where none was made.
   */
  recordWait(waitedMs: Millis, estimatedMs: Millis | undefined): void {
    if (estimatedMs === undefined || estimatedMs === Infinity) return;
    if (estimatedMs < MIN_COMPARED_MS) return;
    const realMs = Math.min(waitedMs, estimatedMs * MAX_RATIO);
    // Each ratio counts by the length of its estimate: the ratios of short ones are mostly chance.
    this.waits = {
      realMs: this.waits.realMs * WAIT_DECAY + realMs,
      estimatedMs: this.waits.estimatedMs * WAIT_DECAY + estimatedMs,
    };
  }

  /**
   * Estimates a wait from the measurement alone, without prior and correction.
   *
   * @param ahead - Queued units that go first.
   * @returns Milliseconds, or undefined while too little has been measured.
   */
  estimateMeasuredMs(ahead: number): Millis | undefined {
    const { units, ms } = this.drain.getMeasured();
    return ms < MIN_MEASURED_MS || units <= 0 ? undefined : (ahead * ms) / units;
  }

  /**
   * Estimates a wait without correction.
   *
   * @param ahead - Units that start first, and the request's own ones if it has to wait for capacity.
   * @param now - Present time.
   * @returns Milliseconds; undefined while nothing is known of the drain rate.
   */
  estimateUncorrectedMs(ahead: number, now: Millis): Millis | undefined {
    if (ahead <= 0) return 0;
    const sample = this.combined(now);
    if (sample === undefined) return undefined;
    return sample.units > 0 ? (ahead * sample.ms) / sample.units : Infinity;
  }

  /**
   * Estimates a wait.
   *
   * @param ahead - Units that start first, and the request's own ones if it has to wait for capacity.
   * @param now - Present time.
   * @returns Milliseconds; 0 while nothing is known of the drain rate.
   */
  estimateWaitMs(ahead: number, now: Millis): Millis {
    return (this.estimateUncorrectedMs(ahead, now) ?? 0) * this.correction;
  }

  /**
   * Gets the drain rate. The correction is not applied: it corrects waits, which also depend on the order.
   *
   * @param now - Present time.
   * @returns Units per millisecond; undefined while nothing is known of it.
   */
  getDrainPerMs(now: Millis): number | undefined {
    const sample = this.combined(now);
    return sample === undefined ? undefined : sample.units / sample.ms;
  }

  /** Gets for how long the drain rate has been measured, less the measurements that have decayed. */
  getMeasuredMs(now: Millis): Millis {
    return this.drain.getSample(now).ms;
  }

  private combined(now: Millis): RateSample | undefined {
    const measured = this.drain.getSample(now);
    if (this.priorPerMs === undefined) {
      return measured.ms < MIN_MEASURED_MS || measured.units <= 0 ? undefined : measured;
    }
    return {
      units: measured.units + this.priorPerMs * PRIOR_WEIGHT_MS,
      ms: measured.ms + PRIOR_WEIGHT_MS,
    };
  }
}
