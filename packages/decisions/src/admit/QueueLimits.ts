/** Bounds on waiting work. */
export interface QueueLimits {
  /**
   * Most waiting requests of one team. A team that floods the queue would otherwise use the memory
   * of the steward's host; the others' requests are not affected, since their bound is their own.
   */
  readonly perTeam: number;
  /** Most waiting requests of all teams, about 10 MB of queue entries. */
  readonly total: number;
}

/** Bounds that hold the queue within the memory that a small entry host has for it. */
export const DEFAULT_QUEUE_LIMITS: QueueLimits = { perTeam: 2_000, total: 20_000 };
