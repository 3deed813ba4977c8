import { type Millis, notRun } from '@camphorvane/core';
import type { EngineTable } from '../place/EngineTable.ts';
import type { SchedulerDecision, WorkItem } from '../PoolScheduler.ts';
import type { FairQueue } from '../queue/FairQueue.ts';
import type { QueuedWork } from '../queue/QueuedWork.ts';
import type { DrainRate } from './DrainRate.ts';
import type { QueueLimits } from './QueueLimits.ts';

/** Bounds of what a refusal tells the caller to wait, in milliseconds. */
const RETRY_AFTER_MS = { least: 100, most: 60_000, unknown: 1_000 };

/**
 * A lookup is refused on submission only when the expected wait exceeds its slack by this factor,
 * since the expectation is a measurement: a wrong refusal costs more than a short wait.
 */
const CLEARLY_LATE = 1.25;

/** A refusal as a decision. */
export type RefuseDecision = Extract<SchedulerDecision, { type: 'refuse' }>;

/**
 * Decides which requests are refused, at once and truthfully.
 *
 * Made for saturation: what can't be served in time is refused before any engine has worked for it,
 * while its caller can still go elsewhere, with the time after which another try makes sense. All
 * refusals made here are of work that no engine was given.
 */
export class Admission {
  constructor(
    private readonly queue: FairQueue,
    private readonly table: EngineTable,
    private readonly drain: DrainRate,
    private readonly limits: QueueLimits,
  ) {}

  /**
   * Refuses on submission a request larger than any engine, a queue beyond its bounds, or a lookup
   * whose wait is known to exceed its target.
   *
   * @returns The refusal, or undefined where the request may wait.
   */
  refuseAtOnce(work: QueuedWork, now: Millis): RefuseDecision | undefined {
    const { item } = work;
    if (work.pieces > this.table.largestMemory) {
      return refuse(item, 'no_capacity', 'No decode engine has memory for this request.');
    }
    if (this.table.decode.areAllIn(item.avoid) || this.table.prefill.areAllIn(item.avoid)) {
      // Left in the queue it would hold up its team until its bound, for engines that never fit.
      return refuse(item, 'no_capacity', 'The request has failed on every engine of the pool.');
    }
    const full =
      this.queue.size >= this.limits.total ||
      this.queue.getTeamSize(item.team) >= this.limits.perTeam;
    if (full) return refuse(item, 'queue_full', 'Too many requests wait.', this.getRetryAfterMs());
    return item.class === 'lookup' ? this.refuseLookup(work, now) : undefined;
  }

  /** Refuses a waiting request whose time is over; it has not run. */
  refuseLate(item: WorkItem): RefuseDecision {
    const text = 'No engine became free within the time that this request may wait.';
    return refuse(item, 'target_missed', text, this.getRetryAfterMs());
  }

  private refuseLookup(work: QueuedWork, now: Millis): RefuseDecision | undefined {
    const { item } = work;
    if (this.table.decode.size === 0 || this.table.prefill.size === 0) {
      return refuse(item, 'no_capacity', 'No engine of the pool is up.', RETRY_AFTER_MS.unknown);
    }
    if (work.giveUpAt <= now) {
      // Not even an idle pool would be in time, so coming back does not help either.
      return refuse(item, 'target_missed', 'The prompt is too long for a lookup on this pool.');
    }
    const ahead = this.queue.getCostAhead(item.team, item.weight, item.class);
    const waitMs = this.drain.getWaitMs(ahead) ?? 0;
    const slackMs = work.giveUpAt - now;
    if (waitMs <= slackMs * CLEARLY_LATE) return undefined;
    const text = 'The queue is longer than the target for the first token allows.';
    return refuse(item, 'target_missed', text, clampRetry(waitMs - slackMs));
  }

  /** Gets when a caller may come back: when the lookups and certificates before it have gone. */
  private getRetryAfterMs(): Millis {
    const ahead = this.queue.getCost('lookup') + this.queue.getCost('certificate');
    return clampRetry(this.drain.getWaitMs(ahead) ?? RETRY_AFTER_MS.unknown);
  }
}

function clampRetry(waitMs: Millis): Millis {
  return Math.ceil(Math.min(RETRY_AFTER_MS.most, Math.max(RETRY_AFTER_MS.least, waitMs)));
}

function refuse(
  item: WorkItem,
  code: 'no_capacity' | 'queue_full' | 'target_missed',
  message: string,
  retryAfterMs?: Millis,
): RefuseDecision {
  const refusal = notRun(code, message, retryAfterMs);
  return { type: 'refuse', request: item.request, holder: item.holder, refusal };
}
