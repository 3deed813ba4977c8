import type { TeamId } from '@camphorvane/core';

/** What a coordinator has to know of its group to answer a message. */
export interface CoordinatorContext {
  readonly epoch: number;
  /** Keys of the members that are not leaving. */
  readonly members: readonly string[];
  /** Keys of all hosts that may hold a grant of an earlier coordinator; undefined if unknown. */
  readonly possibleHolders: readonly string[] | undefined;
  /** Whether `possibleHolders` lists every host that was ever in the group. */
  readonly isHistoryComplete: boolean;
  /** Whether this is the first epoch of the group. */
  readonly isFirstEpoch: boolean;
  /** Tells whether this host may now act as the coordinator of a team. */
  mayCoordinate(team: TeamId): boolean;
  /** Tells whether this host was the coordinator of a team in every epoch after `since`. */
  isCoordinatorThroughout(team: TeamId, since: number): boolean;
}
