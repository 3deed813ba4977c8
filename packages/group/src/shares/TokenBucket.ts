import type { Millis, TeamRate } from '@camphorvane/core';
import { capOf, type Share, SHARE_UNITS, type ShareSettings } from './ShareSettings.ts';

/** Tokens at hand for one share, as of one moment. */
export interface TokenBucket {
  readonly level: number;
  readonly at: Millis;
}

/** Makes a bucket without tokens. */
export function emptyBucket(now: Millis): TokenBucket {
  return { level: 0, at: now };
}

/**
 * Lets a bucket gain what its share has earned.
 *
 * A clock that runs fast would earn more than the rate; time is therefore counted as if this clock
 * were the fastest that the bound on drift allows.
 *
 * @returns The bucket as of now, never above the share's part of the burst.
 */
export function accrue(
  bucket: TokenBucket,
  share: Share,
  rate: TeamRate,
  settings: Pick<ShareSettings, 'driftBound'>,
  now: Millis,
): TokenBucket {
  const seconds = Math.max(0, now - bucket.at) / 1000 / (1 + settings.driftBound);
  const earned = (share / SHARE_UNITS) * rate.tokensPerSecond * seconds;
  const level = Math.min(bucket.level + earned, capOf(share, rate));
  return { level, at: Math.max(now, bucket.at) };
}

/** Adds tokens that come from another share, up to the share's part of the burst. */
export function pour(
  bucket: TokenBucket,
  tokens: number,
  share: Share,
  rate: TeamRate,
): TokenBucket {
  return { ...bucket, level: Math.min(bucket.level + tokens, capOf(share, rate)) };
}
