import type { Millis, TeamId } from '@camphorvane/core';

/** What a steward and one holder have exchanged. */
export interface HolderPair {
  readonly lastSync: number;
  readonly repliedAt: Millis;
  readonly listedSession: number;
  readonly listedEpoch: number;
  /** Teams for which the last reply granted something that is not settled yet. */
  readonly pending: readonly TeamId[];
}

/** A holder that has not been heard of. */
export const NEW_HOLDER_PAIR: HolderPair = {
  lastSync: 0,
  repliedAt: 0,
  listedSession: 0,
  listedEpoch: 0,
  pending: [],
};
