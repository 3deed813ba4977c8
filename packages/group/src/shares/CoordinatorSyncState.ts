import type { Millis, TeamId } from '@camphorvane/core';

/** State that a holder keeps of its exchange with one coordinator. */
export interface CoordinatorSyncState {
  readonly lastSync: number;
  readonly sentAt: Millis;
  readonly acked: number;
  /** Epoch of the coordinator's last reply. */
  readonly epoch: number;
  /** Expiry of its grants of that epoch, on this host's clock. */
  readonly until: Millis;
  readonly session: number;
  /** Session for which the last message completed the list of held shares; 0 if it did not. */
  readonly lastListedSession: number;
  /** Teams reported in the last message. */
  readonly reportedTeams: readonly TeamId[];
}

/** Initial state, before the first reply of a coordinator. */
export const NEW_COORDINATOR_SYNC_STATE: CoordinatorSyncState = {
  lastSync: 0,
  sentAt: 0,
  acked: 0,
  epoch: 0,
  until: 0,
  session: 0,
  lastListedSession: 0,
  reportedTeams: [],
};
