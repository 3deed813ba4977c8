import type { TeamId } from '@camphorvane/core';

/** What a steward must know of its group at the moment of an answer. */
export interface StewardContext {
  readonly epoch: number;
  /** Keys of the hosts that belong to the group and stay. */
  readonly members: readonly string[];
  /** Keys of all hosts that may hold a grant of an earlier steward; undefined where unknown. */
  readonly mayHold: readonly string[] | undefined;
  /** True where `mayHold` names every host that ever was in the group. */
  readonly isWholeHistory: boolean;
  /** True where the group has had no epoch before this one. */
  readonly isFirstEpoch: boolean;
  /** Whether this host may act as the steward of a team now. */
  maySteward(team: TeamId): boolean;
  /** Whether this host was the steward of a team in every epoch after the given one. */
  stewardThroughout(team: TeamId, since: number): boolean;
}
