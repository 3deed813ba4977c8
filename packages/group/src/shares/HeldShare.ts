import type { Millis, TeamRate, Tokens } from '@camphorvane/core';
import type { TeamGrant, GivenTokens, TeamReport } from './ShareMessage.ts';
import { getBucketCapacity, type Share, type ShareSettings } from './ShareSettings.ts';
import { accrueTokens, createEmptyBucket, addTokens, type TokenBucket } from './TokenBucket.ts';

/** Share and tokens of one team on one host. */
export interface HeldShare {
  readonly share: Share;
  readonly bucket: TokenBucket;
  /** Key of the coordinator that granted the share; `epoch` is that of its last grant. */
  readonly grantor?: string;
  readonly epoch: number;
  /** Expiry of a grant of an earlier epoch, which replies no longer renew, on this host's clock. */
  readonly fixedExpiryAt: Millis;
  readonly demand: number;
  readonly demandAt: Millis;
  readonly given?: GivenTokens;
  /** Whether this host ever held a share of the team. */
  readonly everHeld: boolean;
}

/** Creates the state of a team of which no share is held. */
export function createHeldShare(now: Millis): HeldShare {
  return {
    share: 0,
    bucket: createEmptyBucket(now),
    epoch: 0,
    fixedExpiryAt: now,
    demand: 0,
    demandAt: now,
    everHeld: false,
  };
}

/** Drops an expired share with its tokens, since another host may hold it by now. */
export function expireShare(held: HeldShare, now: Millis): HeldShare {
  return { ...held, share: 0, bucket: createEmptyBucket(now), given: undefined };
}

/** Accrues the tokens earned up to `now`. */
export function accrueShare(
  held: HeldShare,
  rate: TeamRate,
  settings: ShareSettings,
  now: Millis,
): HeldShare {
  return { ...held, bucket: accrueTokens(held.bucket, held.share, rate, settings, now) };
}

/** Estimates the demand at `now`, in tokens per second; it decays exponentially. */
export function estimateDemand(held: HeldShare, settings: ShareSettings, now: Millis): number {
  return held.demand * Math.exp(-(now - held.demandAt) / settings.demandTimeConstantMs);
}

/** Adds requested tokens to the demand, whether or not they were available. */
export function addDemand(
  held: HeldShare,
  tokens: Tokens,
  settings: ShareSettings,
  now: Millis,
): HeldShare {
  const demand =
    estimateDemand(held, settings, now) + (tokens * 1000) / settings.demandTimeConstantMs;
  return { ...held, demand, demandAt: now };
}

/** Takes tokens from the bucket; undefined if there are too few. */
export function chargeTokens(held: HeldShare, tokens: Tokens): HeldShare | undefined {
  const level = held.bucket.level - tokens;
  return level < 0 ? undefined : { ...held, bucket: { ...held.bucket, level } };
}

/** Returns unused tokens to the bucket, up to the capacity of the share. */
export function refundTokens(held: HeldShare, tokens: Tokens, rate: TeamRate): HeldShare {
  return { ...held, bucket: addTokens(held.bucket, tokens, held.share, rate) };
}

/**
 * Computes the tokens that leave the bucket when a share shrinks: in proportion to the cut, and at
 * least what exceeds the capacity of the remaining share.
 */
function tokensToReturn(held: HeldShare, grant: TeamGrant, rate: TeamRate): number {
  const { level } = held.bucket;
  const cut = Math.max(0, held.share - grant.share);
  const proportional = held.share === 0 ? 0 : (level * cut) / held.share;
  const excess = level - getBucketCapacity(grant.share, rate);
  return Math.min(Math.ceil(Math.max(proportional, excess, 0)), Math.floor(level));
}

/**
 * Applies a grant of the coordinator.
 *
 * When a share shrinks, its tokens are deducted here before the coordinator learns of it and can
 * grant them to another host: a lost message then loses tokens and never duplicates them.
 *
 * @param held - The held share, accrued up to now.
 * @param grant - The grant.
 * @param rate - Rate and burst of the team.
 * @param id - Number that no earlier return of tokens to this coordinator had.
 * @returns The new state; `given` is set while returned tokens have yet to be reported.
 */
export function applyGrant(
  held: HeldShare,
  grant: TeamGrant,
  rate: TeamRate,
  id: number,
): HeldShare {
  const everHeld = held.everHeld || grant.share > 0;
  if (grant.reset) {
    const bucket = addTokens({ ...held.bucket, level: 0 }, grant.tokens, grant.share, rate);
    return { ...held, share: grant.share, bucket, given: undefined, everHeld };
  }
  const tokens = tokensToReturn(held, grant, rate);
  const kept = { ...held.bucket, level: held.bucket.level - tokens };
  const bucket = addTokens(kept, grant.tokens, grant.share, rate);
  const given = tokens > 0 ? { id, tokens } : undefined;
  return { ...held, share: grant.share, bucket, given, everHeld };
}

/** Creates the report on a team for its coordinator. */
export function createReport(
  team: string,
  held: HeldShare,
  settings: ShareSettings,
  now: Millis,
): TeamReport {
  const { share, given } = held;
  const demand = Math.round(estimateDemand(held, settings, now));
  const known = held.everHeld;
  return { team, share, level: Math.floor(held.bucket.level), demand, given, known };
}
