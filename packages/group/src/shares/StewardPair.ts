import type { Millis, TeamId } from '@camphorvane/core';

/** What a holder and one steward have exchanged. */
export interface StewardPair {
  readonly lastSync: number;
  readonly sentAt: Millis;
  readonly acked: number;
  /** Epoch under which the steward last answered. */
  readonly epoch: number;
  /** Until when its grants of that epoch hold, on this clock. */
  readonly until: Millis;
  readonly session: number;
  /** The session for which the last message listed everything; 0 where it did not. */
  readonly listed: number;
  /** Teams reported by the last message. */
  readonly inFlight: readonly TeamId[];
}

/** A steward that has not been heard of. */
export const NEW_STEWARD_PAIR: StewardPair = {
  lastSync: 0,
  sentAt: 0,
  acked: 0,
  epoch: 0,
  until: 0,
  session: 0,
  listed: 0,
  inFlight: [],
};
