import type { Millis, TeamRate } from '@camphorvane/core';

/** Fraction of a team's rate and burst, in units of 1 / {@link SHARE_UNITS}. */
export type Share = number;

/** Units of a whole share; integers add up exactly, floating-point fractions would not. */
export const SHARE_UNITS = 1_000_000;

/** Settings of the share protocol; the same for all hosts of a group. */
export interface ShareSettings {
  /** Lifetime of a grant without renewal, on the holder's clock. */
  readonly ttlMs: Millis;
  /** Largest relative deviation of a host's clock rate from true time, such as 0.001. */
  readonly driftBound: number;
  /** Interval at which a holder reports changed teams. */
  readonly reportIntervalMs: Millis;
  /** Interval at which it reports to a coordinator when nothing has changed. */
  readonly renewIntervalMs: Millis;
  /** Time constant of the exponentially decaying demand estimate. */
  readonly demandTimeConstantMs: Millis;
  /** Fraction of the rate that counts as demand spread evenly over all members. */
  readonly evenFraction: number;
  /** Smallest deviation from its target for which a share is moved. */
  readonly minMove: Share;
  /** Tokens that a holder keeps when it lends, as milliseconds of its own demand. */
  readonly lendReserveMs: Millis;
  /** Most teams in one message. */
  readonly maxTeamsPerMessage: number;
}

/**
 * Settings for hosts with a latency of about 1 ms between them.
 *
 * Grants outlive the about 6 s for which a team has no coordinator after a crash. Part of each rate
 * is spread evenly because a crash of the only host that a team uses would otherwise block nearly
 * all of its rate until the grants expire; shares of other hosts can be borrowed from at once.
 */
export const DEFAULT_SHARE_SETTINGS: ShareSettings = {
  ttlMs: 8_000,
  driftBound: 0.001,
  reportIntervalMs: 200,
  renewIntervalMs: 2_000,
  demandTimeConstantMs: 4_000,
  evenFraction: 0.3,
  minMove: SHARE_UNITS / 40,
  lendReserveMs: 100,
  maxTeamsPerMessage: 400,
};

/**
 * The safety rules, separate from the code that applies them: the model checker replaces one at a
 * time and must then find a violation.
 */
export interface ShareRules {
  /** Whether a holder checks the expiry of a grant before it uses the share. */
  readonly checksExpiry: boolean;
  /** Gets how long a coordinator waits, on its clock, until an unrenewed grant has expired. */
  expiryWait(settings: ShareSettings): Millis;
  /** Whether a coordinator deducts a share from the free part before it grants it. */
  readonly deductsFirst: boolean;
}

/** The rules that hosts use. */
export const SHARE_RULES: ShareRules = {
  checksExpiry: true,
  // The slowest holder clock stretches the TTL by 1 / (1 - d); the fastest coordinator clock
  // shortens the wait by 1 / (1 + d).
  expiryWait: ({ ttlMs, driftBound }) => (ttlMs * (1 + driftBound)) / (1 - driftBound),
  deductsFirst: true,
};

/** Gets the bucket capacity of a share, in tokens. */
export function getBucketCapacity(share: Share, rate: TeamRate): number {
  return (share / SHARE_UNITS) * rate.burstTokens;
}

/** Tells whether two rates are equal; an undefined rate equals only another one. */
export function isSameRate(a: TeamRate | undefined, b: TeamRate | undefined): boolean {
  return a?.tokensPerSecond === b?.tokensPerSecond && a?.burstTokens === b?.burstTokens;
}
