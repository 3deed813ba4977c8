/** Limits of the request queue of a pool. */
export interface QueueLimits {
  /**
   * Most queued requests of one team: one team's flood must not use up the memory of the host that
   * runs the scheduler. Each team has its own limit, so the flood takes no room from other teams.
   */
  readonly perTeam: number;
  /** Most queued requests of all teams, about 10 MB of queue entries. */
  readonly total: number;
}

/** Limits that fit the queue into the memory that a small host has for it. */
export const DEFAULT_QUEUE_LIMITS: QueueLimits = { perTeam: 2_000, total: 20_000 };
