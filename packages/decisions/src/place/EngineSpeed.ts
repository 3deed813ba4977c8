import type { Millis, Tokens } from '@camphorvane/core';

/** Weight that an observation keeps when the next one comes: about ten observations count. */
const DECAY = 0.85;

/**
 * Share of the time between tokens that does not depend on the number of streams, assumed while the
 * number of streams has hardly changed, since a line through one point has no slope.
 */
const ASSUMED_BASE_SHARE = 0.4;

/** Weight of that assumption against one observation. */
const ASSUMPTION_WEIGHT = 0.3;

/** Part of the target that is planned for; the rest takes up the noise of the measurement. */
const TARGET_SHARE = 0.98;

/** Never less than one stream: an engine without work is never measured again. */
const MIN_STREAMS = 1;

/**
 * Tokens below which a prefill is mostly its fixed cost. What goes wrong without this limit: after
 * some prompts of a few tokens the engine seems so slow that every common lookup counts as late, is
 * refused on an idle pool, and so never corrects the estimate.
 */
const SHORT_PROMPT: Tokens = 128;

/** Weight of a new sample in the mean prefill speed. */
const PREFILL_SAMPLE_WEIGHT = 0.25;

/**
 * How fast an engine really is, inferred from what it did.
 *
 * Made for hot afternoons: a hot engine keeps its memory and reports nothing, but each of its
 * tokens takes longer. Filling its memory as before makes every stream on it miss the target. The
 * time between tokens is taken as a line over the number of streams, fitted to the last
 * observations, which gives the number of streams that still meets the target.
 */
export class EngineSpeed {
  private weight = 0;

  private sumStreams = 0;

  private sumMs = 0;

  private sumStreamsSquared = 0;

  private sumProducts = 0;

  private prefillRate: number | undefined;

  /** Takes in the mean time between tokens while a number of streams ran. */
  observeInterval(meanMs: Millis, streams: number): void {
    if (streams <= 0 || meanMs <= 0) return;
    this.weight = this.weight * DECAY + 1;
    this.sumStreams = this.sumStreams * DECAY + streams;
    this.sumMs = this.sumMs * DECAY + meanMs;
    this.sumStreamsSquared = this.sumStreamsSquared * DECAY + streams * streams;
    this.sumProducts = this.sumProducts * DECAY + streams * meanMs;
  }

  /**
   * Takes in a prefill: tokens that were computed, and the time for which it kept the engine. A short
   * one shows only that the engine is at least that fast.
   */
  observePrefill(tokens: Tokens, tookMs: Millis): void {
    if (tokens <= 0 || tookMs <= 0) return;
    const rate = tokens / tookMs;
    if (tokens < SHORT_PROMPT && rate <= (this.prefillRate ?? Infinity)) return;
    this.prefillRate =
      this.prefillRate === undefined
        ? rate
        : this.prefillRate + (rate - this.prefillRate) * PREFILL_SAMPLE_WEIGHT;
  }

  /** Gets prefill speed in tokens a millisecond, if it has been observed. */
  getPrefillRate(): number | undefined {
    return this.prefillRate;
  }

  /** Gets the time between tokens to expect with a number of streams, if it has been observed. */
  getIntervalMs(streams: number): Millis | undefined {
    if (this.weight === 0) return undefined;
    const { base, slope } = this.fit();
    return base + slope * streams;
  }

  /**
   * Gets how many streams meet the target for the time between tokens.
   *
   * @param targetMs - The target.
   * @returns Streams, at least one; Infinity before anything was observed.
   */
  getUsefulStreams(targetMs: Millis): number {
    if (this.weight === 0) return Infinity;
    const { base, slope } = this.fit();
    const room = targetMs * TARGET_SHARE - base;
    return Math.max(MIN_STREAMS, Math.floor(room / slope));
  }

  /** Fits the line, with the assumed base as a weak additional point at zero streams. */
  private fit(): { readonly base: number; readonly slope: number } {
    const mean = this.sumMs / this.weight;
    const weight = this.weight + ASSUMPTION_WEIGHT;
    const sumMs = this.sumMs + ASSUMPTION_WEIGHT * ASSUMED_BASE_SHARE * mean;
    const spread = weight * this.sumStreamsSquared - this.sumStreams ** 2;
    const slope = (weight * this.sumProducts - this.sumStreams * sumMs) / spread;
    const steady = Math.max(slope, (mean * 0.1) / (this.sumStreams / this.weight));
    return { base: (sumMs - steady * this.sumStreams) / weight, slope: steady };
  }
}
