import type { Millis } from '@camphorvane/core';

/** How a group keeps its membership; the same for all hosts of a group. */
export interface MembershipSettings {
  /** How long a member may act after its epoch was confirmed (the T of the design notes). */
  readonly actForMs: Millis;
  /** Clocks of two hosts run at rates that differ from true time by at most this factor less 1. */
  readonly driftBound: number;
  /** How often a member greets each other member. */
  readonly vouchPeriodMs: Millis;
  /** After how long without an answer a member counts as silent. */
  readonly suspectMs: Millis;
  /** How often a member reads the group's object while all is well. */
  readonly platformReadMs: Millis;
  /** How often it reads the object while its permission to act runs out. */
  readonly urgentReadMs: Millis;
  /** How often a member reads the host list while all is well. */
  readonly hostListMs: Millis;
  /** How often it reads the host list while somebody is silent or not yet listed. */
  readonly urgentHostListMs: Millis;
  /** How long the host list must miss a host before it counts as gone; above the list's lag. */
  readonly goneAfterMs: Millis;
  /** Wait before the next live member tries the write that the one before it did not make. */
  readonly staggerMs: Millis;
  /** Most members of a group; further hosts wait outside. */
  readonly maxMembers: number;
  /** A host's own number in [0, 1), which spreads the hosts' calls to the platform over time. */
  readonly jitter: number;
}

/**
 * Settings for hosts about a millisecond apart.
 *
 * Four rounds of greetings fit into `actForMs`, so that two lost rounds stop nobody. Silence is
 * noticed after three rounds; together with the wait a crash costs about four seconds of a key.
 * Shorter periods would cost messages in proportion, and a pause of the process, such as a long
 * collection of garbage, would count as a crash.
 */
export const DEFAULT_MEMBERSHIP: MembershipSettings = {
  actForMs: 2_000,
  driftBound: 0.01,
  vouchPeriodMs: 500,
  suspectMs: 1_600,
  platformReadMs: 10_000,
  urgentReadMs: 500,
  hostListMs: 10_000,
  urgentHostListMs: 2_500,
  goneAfterMs: 15_000,
  staggerMs: 400,
  maxMembers: 9,
  jitter: 0,
};

/**
 * The rules that safety rests on, apart from the code that applies them: the model checker
 * replaces one at a time and must then find a violation.
 */
export interface MembershipRules {
  /** Gets how many of so many members make a decision. */
  quorum(members: number): number;
  /** Gets how long a new epoch waits before it takes anything over from members unheard of. */
  takeoverWait(settings: MembershipSettings): Millis;
  /** Whether an epoch may be written only once a majority of the last but one has ended it. */
  readonly chained: boolean;
}

/** The rules that hosts run by. */
export const MEMBERSHIP_RULES: MembershipRules = {
  quorum: (members) => (members === 0 ? 0 : Math.floor(members / 2) + 1),
  // The slowest clock stretches T by the factor 1 + d, and the fastest one shrinks the wait by it.
  takeoverWait: (settings) => settings.actForMs * (1 + settings.driftBound) ** 2,
  chained: true,
};
