import type { Millis, TeamId } from '@camphorvane/core';
import type { ReturnStatus } from '../turns/TurnScheduler.ts';

/** What the order of a waiting request depends on. */
export interface OrderedEntry {
  readonly team: TeamId;
  /** Lower goes first. */
  readonly priority: number;
  /** Time at which the request was queued. */
  readonly submittedAt: Millis;
  /** Time from which the request is late. */
  readonly lateAt: Millis;
  readonly returnStatus: ReturnStatus;
  /** Sort key within a team, lower first; it falls with the time waited. */
  readonly footprint: number;
}

/** Orders the waiting requests of one queue. */
export interface QueueOrder {
  /**
   * Compares two waiting requests.
   *
   * @param a - One request.
   * @param b - The other one.
   * @param now - Present time.
   * @returns Negative if `a` goes first, positive if `b` does, 0 if either may.
   */
  compare(a: OrderedEntry, b: OrderedEntry, now: Millis): number;
}
