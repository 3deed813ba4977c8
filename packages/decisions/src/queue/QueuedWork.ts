import type { Millis, Pieces, Tokens } from '@camphorvane/core';
import type { WorkItem } from '../PoolScheduler.ts';

/** A request in the queue, linked to its neighbours of the same team and class. */
export interface QueuedWork {
  readonly item: WorkItem;
  readonly submittedAt: Millis;
  /** When the request is given up; for a lookup this is when its target can't be met any more. */
  giveUpAt: Millis;
  readonly pieces: Pieces;
  /** Tokens charged to the team in fair queueing: prompt plus allowed output. */
  readonly cost: Tokens;
  previous: QueuedWork | undefined;
  next: QueuedWork | undefined;
}
