import type { Millis, Pieces, Tokens } from '@camphorvane/core';
import type { WorkItem } from '../PoolScheduler.ts';

/** A waiting request, linked to its neighbours of the same team and class. */
export interface QueuedWork {
  readonly item: WorkItem;
  readonly submittedAt: Millis;
  /** Time at which the maximum wait ends or, for a lookup, the target for the first token is missed. */
  readonly lateAt: Millis;
  /** Time at which the request is refused; a lookup as soon as its first token can't be in time. */
  readonly giveUpAt: Millis;
  /** KV memory that the request reserves, in pieces. */
  readonly pieces: Pieces;
  /** Tokens charged to the team in fair queueing: prompt plus maximum output. */
  readonly cost: Tokens;
  /** Wait estimated on submission, without correction; undefined where none was estimated. */
  estimatedMs: Millis | undefined;
  previous: QueuedWork | undefined;
  next: QueuedWork | undefined;
}
