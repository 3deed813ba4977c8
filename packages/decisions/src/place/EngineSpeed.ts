import type { Millis, Tokens } from '@camphorvane/core';

/** Factor by which each observation reduces the weight of earlier ones; about the last ten count. */
const DECAY = 0.85;

/**
 * Share of the inter-token latency that does not depend on the number of streams. Assumed because
 * observations with nearly the same number of streams don't determine the slope.
 */
const ASSUMED_BASE_SHARE = 0.4;

/** Weight of that assumption, relative to one observation. */
const ASSUMED_BASE_WEIGHT = 0.3;

/** Share of the target latency that is planned for; the rest absorbs measurement noise. */
const TARGET_SHARE = 0.98;

/** An engine without streams would produce no further observations. */
const MIN_STREAMS = 1;

/**
 * Prompt length below which a prefill consists mostly of its fixed cost. Without this limit, a few
 * very short prompts make the engine seem so slow that ordinary lookups are refused as late on an
 * idle pool, and no prefill corrects the estimate.
 */
const SHORT_PROMPT_TOKENS: Tokens = 128;

/** Weight of a new sample in the mean prefill speed. */
const PREFILL_SAMPLE_WEIGHT = 0.25;

/**
 * Estimates the speed of an engine from its observed latencies.
 *
 * A thermally throttled engine has the same memory and reports no fault, but each of its tokens
 * takes longer: filled as before, it makes all its streams miss the target. The inter-token latency
 * is modelled as a linear function of the number of streams, fitted to the latest observations; the
 * fit gives the number of streams that still meets the target.
 */
export class EngineSpeed {
  private weight = 0;

  private sumStreams = 0;

  private sumMs = 0;

  private sumStreamsSquared = 0;

  private sumProducts = 0;

  private prefillRate: number | undefined;

  /** Records the mean inter-token latency while a number of streams ran. */
  observeTokenInterval(meanMs: Millis, streams: number): void {
    if (streams <= 0 || meanMs <= 0) return;
    this.weight = this.weight * DECAY + 1;
    this.sumStreams = this.sumStreams * DECAY + streams;
    this.sumMs = this.sumMs * DECAY + meanMs;
    this.sumStreamsSquared = this.sumStreamsSquared * DECAY + streams * streams;
    this.sumProducts = this.sumProducts * DECAY + streams * meanMs;
  }

  /**
   * Records a prefill: the computed tokens and the time for which the engine was busy with it. A
   * short prefill only gives a lower bound of the speed.
   */
  observePrefill(tokens: Tokens, tookMs: Millis): void {
    if (tokens <= 0 || tookMs <= 0) return;
    const rate = tokens / tookMs;
    if (tokens < SHORT_PROMPT_TOKENS && rate <= (this.prefillRate ?? Infinity)) return;
    this.prefillRate =
      this.prefillRate === undefined
        ? rate
        : this.prefillRate + (rate - this.prefillRate) * PREFILL_SAMPLE_WEIGHT;
  }

  /** Gets the prefill speed in tokens per millisecond, if it has been observed. */
  getPrefillRate(): number | undefined {
    return this.prefillRate;
  }

  /** Gets the expected inter-token latency with a number of streams, if it has been observed. */
  getTokenIntervalMs(streams: number): Millis | undefined {
    if (this.weight === 0) return undefined;
    const { base, slope } = this.fit();
    return base + slope * streams;
  }

  /**
   * Gets how many concurrent streams meet a target inter-token latency.
   *
   * @param targetMs - The target.
   * @returns Streams, at least one; Infinity before the first observation.
   */
  getStreamLimit(targetMs: Millis): number {
    if (this.weight === 0) return Infinity;
    const { base, slope } = this.fit();
    const budgetMs = targetMs * TARGET_SHARE - base;
    return Math.max(MIN_STREAMS, Math.floor(budgetMs / slope));
  }

  /**
   * Fits latency to streams by weighted least squares, with the assumed base as a weak additional
   * point at zero streams. The slope has a positive lower bound, as the stream limit divides by it.
   */
  private fit(): { readonly base: number; readonly slope: number } {
    const mean = this.sumMs / this.weight;
    const weight = this.weight + ASSUMED_BASE_WEIGHT;
    const sumMs = this.sumMs + ASSUMED_BASE_WEIGHT * ASSUMED_BASE_SHARE * mean;
    const determinant = weight * this.sumStreamsSquared - this.sumStreams ** 2;
    const slope = (weight * this.sumProducts - this.sumStreams * sumMs) / determinant;
    const boundedSlope = Math.max(slope, (mean * 0.1) / (this.sumStreams / this.weight));
    return { base: (sumMs - boundedSlope * this.sumStreams) / weight, slope: boundedSlope };
  }
}
