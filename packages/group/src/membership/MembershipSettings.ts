import type { Millis } from '@camphorvane/core';

/** Settings of the membership protocol; the same for all hosts of a group. */
export interface MembershipSettings {
  /** How long a member may act after its epoch was confirmed, like the term of a lease (T). */
  readonly actForMs: Millis;
  /** Largest relative deviation of a host's clock rate from true time, such as 0.01. */
  readonly driftBound: number;
  /** Heartbeat interval to each other member. */
  readonly heartbeatIntervalMs: Millis;
  /** Timeout without an answer after which a member is suspected to have failed. */
  readonly suspectTimeoutMs: Millis;
  /** Interval between reads of the group's record in normal operation. */
  readonly recordReadIntervalMs: Millis;
  /** Base interval between reads when the permission to act is expiring or a write is due. */
  readonly urgentReadIntervalMs: Millis;
  /** Interval between reads of the host list in normal operation. */
  readonly hostListIntervalMs: Millis;
  /** Interval between reads of the host list while a member is timed out or not yet listed. */
  readonly urgentHostListIntervalMs: Millis;
  /** How long a host must be missing from the host list to count as gone; longer than its lag. */
  readonly goneAfterMs: Millis;
  /** Delay, per rank among the live members, before a member attempts a write that is due. */
  readonly writeStaggerMs: Millis;
  /** Most members of a group; further hosts wait to join. */
  readonly maxMembers: number;
  /** Per-host number in [0, 1) that spreads the hosts' calls to the platform over time. */
  readonly jitter: number;
}

/**
 * Settings for hosts with a latency of about 1 ms between them.
 *
 * Four heartbeats fit into `actForMs`, so that two lost ones stop no member. A timeout takes three
 * heartbeats; with the takeover wait, a key has no coordinator for about 4 s after a crash. Shorter
 * intervals would cost proportionally more messages, and a long garbage collection pause would
 * count as a crash.
 */
export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  actForMs: 2_000,
  driftBound: 0.01,
  heartbeatIntervalMs: 500,
  suspectTimeoutMs: 1_600,
  recordReadIntervalMs: 10_000,
  urgentReadIntervalMs: 500,
  hostListIntervalMs: 10_000,
  urgentHostListIntervalMs: 2_500,
  goneAfterMs: 15_000,
  writeStaggerMs: 400,
  maxMembers: 9,
  jitter: 0,
};

/**
 * The safety rules, separate from the code that applies them: the model checker replaces one at a
 * time and must then find a violation.
 */
export interface MembershipRules {
  /** Gets the quorum size for a number of members. */
  quorum(members: number): number;
  /** Gets how long a new epoch waits before it takes over from unreachable members. */
  takeoverWait(settings: MembershipSettings): Millis;
  /** Whether epoch n + 1 waits until a majority of epoch n - 1 has stopped vouching for it. */
  readonly chained: boolean;
}

/** The rules that hosts use. */
export const MEMBERSHIP_RULES: MembershipRules = {
  quorum: (members) => (members === 0 ? 0 : Math.floor(members / 2) + 1),
  // The slowest clock stretches T by the factor 1 + d, and the fastest one shortens the wait by it.
  takeoverWait: (settings) => settings.actForMs * (1 + settings.driftBound) ** 2,
  chained: true,
};
