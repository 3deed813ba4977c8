import type { Millis, TeamRate } from '@camphorvane/core';
import { getBucketCapacity, type Share, SHARE_UNITS, type ShareSettings } from './ShareSettings.ts';

/** Token bucket of one share; `level` holds at the time `at`. */
export interface TokenBucket {
  readonly level: number;
  readonly at: Millis;
}

/** Creates a bucket without tokens. */
export function createEmptyBucket(now: Millis): TokenBucket {
  return { level: 0, at: now };
}

/**
 * Accrues the tokens that a share has earned up to `now`.
 *
 * The elapsed time is counted as if this clock were the fastest that the drift bound allows, since
 * a fast clock would otherwise earn more than the rate.
 *
 * @returns The bucket at `now`, capped at the share's part of the burst.
 */
export function accrueTokens(
  bucket: TokenBucket,
  share: Share,
  rate: TeamRate,
  settings: Pick<ShareSettings, 'driftBound'>,
  now: Millis,
): TokenBucket {
  const seconds = Math.max(0, now - bucket.at) / 1000 / (1 + settings.driftBound);
  const earned = (share / SHARE_UNITS) * rate.tokensPerSecond * seconds;
  const level = Math.min(bucket.level + earned, getBucketCapacity(share, rate));
  return { level, at: Math.max(now, bucket.at) };
}

/** Adds tokens from another share or a refund, capped at the share's part of the burst. */
export function addTokens(
  bucket: TokenBucket,
  tokens: number,
  share: Share,
  rate: TeamRate,
): TokenBucket {
  return { ...bucket, level: Math.min(bucket.level + tokens, getBucketCapacity(share, rate)) };
}
