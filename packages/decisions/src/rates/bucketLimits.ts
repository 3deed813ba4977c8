import type { Millis, TeamRate, Tokens } from '@camphorvane/core';

/** Tolerance by which all hosts together may exceed a team's rate. */
export interface RateTolerance {
  /** Fraction of the rate, such as 0.1. */
  readonly over: number;
  /** Tokens allowed beyond that in any window. */
  readonly slackTokens: Tokens;
  /** Length of a window, in milliseconds. */
  readonly windowMs: Millis;
}

/** Limits of a team's token bucket. */
export interface BucketLimits {
  /** Refill rate in tokens a millisecond. */
  readonly perMs: number;
  readonly capacity: Tokens;
}

/** Fraction of the tolerance added to the rate; the rest covers charges not yet known to peers. */
const USED_TOLERANCE_FRACTION = 0.8;

/** Fraction of the slack that raises the refill rate; the rest raises the burst. */
const SLACK_REFILL_FRACTION = 0.5;

const MS_PER_SECOND = 1_000;

/**
 * Gets the limits of a team's token bucket, which use most of the tolerance.
 *
 * @param rate - The team's rate.
 * @param tolerance - Tolerance by which all hosts together may exceed it.
 * @returns Refill rate and capacity.
 */
export function bucketLimits(rate: TeamRate, tolerance: RateTolerance): BucketLimits {
  const { over, slackTokens, windowMs } = tolerance;
  const factor = 1 + over * USED_TOLERANCE_FRACTION;
  const slack = slackTokens * USED_TOLERANCE_FRACTION;
  const slackPerMs = (slack * SLACK_REFILL_FRACTION) / windowMs;
  return {
    perMs: (rate.tokensPerSecond / MS_PER_SECOND) * factor + slackPerMs,
    capacity: rate.burstTokens * factor + slack * (1 - SLACK_REFILL_FRACTION),
  };
}
