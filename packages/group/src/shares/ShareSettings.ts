import type { Millis, TeamRate } from '@camphorvane/core';

/** A part of a team's rate and burst, in units of which {@link SHARE_UNITS} make the whole. */
export type Share = number;

/** Units of a whole share: integers add up exactly, fractions would not. */
export const SHARE_UNITS = 1_000_000;

/** How shares are kept and moved; the same for all hosts of a group. */
export interface ShareSettings {
  /** How long a grant holds without a renewal, on the holder's clock. */
  readonly ttlMs: Millis;
  /** Clocks of two hosts run at rates that differ from true time by at most this factor less 1. */
  readonly driftBound: number;
  /** How often a holder reports the teams that have changed. */
  readonly periodMs: Millis;
  /** How often it reports to a steward when nothing has changed. */
  readonly renewMs: Millis;
  /** Time constant of the estimate of demand. */
  readonly demandMs: Millis;
  /** Part of the rate that counts as demand spread evenly over all members. */
  readonly evenPart: number;
  /** Smallest difference from its target for which a share is moved. */
  readonly smallestMove: Share;
  /** Demand, in milliseconds of it, that a holder keeps when it lends tokens. */
  readonly keepMs: Millis;
  /** Most teams in one message. */
  readonly maxEntries: number;
}

/**
 * Settings for hosts about a millisecond apart.
 *
 * A grant outlives the six seconds or so for which a team is without a steward after a crash.
 */
export const DEFAULT_SHARES: ShareSettings = {
  ttlMs: 8_000,
  driftBound: 0.001,
  periodMs: 200,
  renewMs: 2_000,
  demandMs: 4_000,
  evenPart: 0.1,
  smallestMove: SHARE_UNITS / 40,
  keepMs: 100,
  maxEntries: 400,
};

/**
 * The rules that safety rests on, apart from the code that applies them: the model checker
 * replaces one at a time and must then find a violation.
 */
export interface ShareRules {
  /** Whether a holder checks the expiry of its grant before it uses it. */
  readonly checksExpiry: boolean;
  /** Gets how long a steward waits, on its clock, before a grant unheard of has surely expired. */
  expiryWait(settings: ShareSettings): Millis;
  /** Whether a steward takes a share from what is free before it grants it. */
  readonly deductsFirst: boolean;
}

/** The rules that hosts run by. */
export const SHARE_RULES: ShareRules = {
  checksExpiry: true,
  // The slowest holder stretches the time to live by 1 / (1 - d); the fastest steward shrinks its
  // wait by 1 / (1 + d).
  expiryWait: ({ ttlMs, driftBound }) => (ttlMs * (1 + driftBound)) / (1 - driftBound),
  deductsFirst: true,
};

/** Gets the largest level that a share of a burst may have, in tokens. */
export function capOf(share: Share, rate: TeamRate): number {
  return (share / SHARE_UNITS) * rate.burstTokens;
}

/** Tells whether two rates are equal; a team that does not exist equals only another such. */
export function sameRate(a: TeamRate | undefined, b: TeamRate | undefined): boolean {
  return a?.tokensPerSecond === b?.tokensPerSecond && a?.burstTokens === b?.burstTokens;
}
