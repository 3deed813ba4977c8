import type { Millis, TeamRate, Tokens } from '@camphorvane/core';
import type { TeamGrant, GivenTokens, TeamReport } from './ShareMessage.ts';
import { capOf, type Share, type ShareSettings } from './ShareSettings.ts';
import { accrue, emptyBucket, pour, type TokenBucket } from './TokenBucket.ts';

/** What a holder has of one team. */
export interface HeldShare {
  readonly share: Share;
  readonly bucket: TokenBucket;
  /** Key of the steward that granted it, and the epoch under which it last did. */
  readonly steward?: string;
  readonly epoch: number;
  /** Expiry of a grant that its steward's later replies do not renew, on this clock. */
  readonly frozenUntil: Millis;
  readonly demand: number;
  readonly demandAt: Millis;
  readonly given?: GivenTokens;
  /** Whether there ever was a share of this team here. */
  readonly everHeld: boolean;
}

/** Makes the state of a team of which nothing is held. */
export function nothingHeld(now: Millis): HeldShare {
  return {
    share: 0,
    bucket: emptyBucket(now),
    epoch: 0,
    frozenUntil: now,
    demand: 0,
    demandAt: now,
    everHeld: false,
  };
}

/** Drops a share whose grant has run out; its tokens go with it, since another may hold it now. */
export function lapsed(held: HeldShare, now: Millis): HeldShare {
  return { ...held, share: 0, bucket: emptyBucket(now), given: undefined };
}

/** Lets the bucket gain up to now. */
export function refreshed(
  held: HeldShare,
  rate: TeamRate,
  settings: ShareSettings,
  now: Millis,
): HeldShare {
  return { ...held, bucket: accrue(held.bucket, held.share, rate, settings, now) };
}

/** Gets the demand as of now, in tokens a second. */
export function demandAt(held: HeldShare, settings: ShareSettings, now: Millis): number {
  return held.demand * Math.exp(-(now - held.demandAt) / settings.demandMs);
}

/** Notes that tokens were asked for, whether or not they were there. */
export function withDemand(
  held: HeldShare,
  tokens: Tokens,
  settings: ShareSettings,
  now: Millis,
): HeldShare {
  const demand = demandAt(held, settings, now) + (tokens * 1000) / settings.demandMs;
  return { ...held, demand, demandAt: now };
}

/** Takes tokens out; undefined where there are too few. */
export function charged(held: HeldShare, tokens: Tokens): HeldShare | undefined {
  const level = held.bucket.level - tokens;
  return level < 0 ? undefined : { ...held, bucket: { ...held.bucket, level } };
}

/** Puts unused tokens back, as far as the share has room for them. */
export function refunded(held: HeldShare, tokens: Tokens, rate: TeamRate): HeldShare {
  return { ...held, bucket: pour(held.bucket, tokens, held.share, rate) };
}

/**
 * Works out what leaves the bucket when a share shrinks: its part of the tokens, and what the rest
 * can't hold.
 */
function givenUp(held: HeldShare, grant: TeamGrant, rate: TeamRate): number {
  const { level } = held.bucket;
  const cut = Math.max(0, held.share - grant.share);
  const part = held.share === 0 ? 0 : (level * cut) / held.share;
  const excess = level - capOf(grant.share, rate);
  return Math.min(Math.ceil(Math.max(part, excess, 0)), Math.floor(level));
}

/**
 * Applies a steward's word on a team.
 *
 * What shrinks is deducted here, before the steward hears of it and can give it to another: a lost
 * message then loses tokens and never makes them stand twice.
 *
 * @param held - What is held, as of now.
 * @param grant - The steward's word.
 * @param id - Number that no earlier gift of this holder to this steward had.
 * @returns What is held then; `given` is set where tokens wait to be reported.
 */
export function granted(held: HeldShare, grant: TeamGrant, rate: TeamRate, id: number): HeldShare {
  const everHeld = held.everHeld || grant.share > 0;
  if (grant.reset) {
    const bucket = pour({ ...held.bucket, level: 0 }, grant.tokens, grant.share, rate);
    return { ...held, share: grant.share, bucket, given: undefined, everHeld };
  }
  const tokens = givenUp(held, grant, rate);
  const kept = { ...held.bucket, level: held.bucket.level - tokens };
  const bucket = pour(kept, grant.tokens, grant.share, rate);
  const given = tokens > 0 ? { id, tokens } : undefined;
  return { ...held, share: grant.share, bucket, given, everHeld };
}

/** Describes a team for its steward. */
export function reportOf(
  team: string,
  held: HeldShare,
  settings: ShareSettings,
  now: Millis,
): TeamReport {
  const { share, given } = held;
  const demand = Math.round(demandAt(held, settings, now));
  const known = held.everHeld;
  return { team, share, level: Math.floor(held.bucket.level), demand, given, known };
}
