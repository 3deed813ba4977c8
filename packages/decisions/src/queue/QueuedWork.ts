import type { Millis, Pieces, Tokens } from '@camphorvane/core';
import type { WorkItem } from '../PoolScheduler.ts';

/** A request in the queue, linked to its neighbours of the same team and class. */
export interface QueuedWork {
  readonly item: WorkItem;
  readonly submittedAt: Millis;
  /** When the request has waited too long, or, for a lookup, the first token is late. */
  readonly lateAt: Millis;
  /** When the request is given up; a lookup as soon as its first token can't be in time any more. */
  readonly giveUpAt: Millis;
  readonly pieces: Pieces;
  /** Tokens charged to the team in fair queueing: prompt plus allowed output. */
  readonly cost: Tokens;
  previous: QueuedWork | undefined;
  next: QueuedWork | undefined;
}
