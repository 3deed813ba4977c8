import type { Millis, TeamId } from '@camphorvane/core';

/** State that a coordinator keeps of its exchange with one holder. */
export interface HolderSyncState {
  readonly lastSync: number;
  readonly repliedAt: Millis;
  readonly listedSession: number;
  readonly listedEpoch: number;
  /** Teams whose grant in the last reply is not yet confirmed as applied. */
  readonly pending: readonly TeamId[];
}

/** Initial state, before the first message of a holder. */
export const NEW_HOLDER_SYNC_STATE: HolderSyncState = {
  lastSync: 0,
  repliedAt: 0,
  listedSession: 0,
  listedEpoch: 0,
  pending: [],
};
