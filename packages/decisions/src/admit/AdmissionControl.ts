import { type Millis, notRun } from '@camphorvane/core';
import type { EngineTable } from '../place/EngineTable.ts';
import type { SchedulerDecision, WorkItem } from '../PoolScheduler.ts';
import type { FairQueue } from '../queue/FairQueue.ts';
import type { QueuedWork } from '../queue/QueuedWork.ts';
import type { DrainRate } from './DrainRate.ts';
import type { QueueLimits } from './QueueLimits.ts';

/** Bounds of a refusal's retry-after, and its value while the drain rate is unknown, in milliseconds. */
const RETRY_AFTER_MS = { min: 100, max: 60_000, unknown: 1_000 };

/**
 * A lookup is refused on submission only if the estimated wait exceeds its slack by this factor: the
 * estimate comes from a measured rate, and a wrong refusal costs more than a short wait.
 */
const LATE_WAIT_FACTOR = 1.25;

/** The scheduler decision that refuses a request. */
export type RefuseDecision = Extract<SchedulerDecision, { type: 'refuse' }>;

/**
 * Admission control of a pool: refuses requests that can't be served in time.
 *
 * Under overload such a request is refused early, while its caller can still go elsewhere, and the
 * refusal says when a retry makes sense. Only work that was never dispatched to an engine is refused
 * here, so every refusal has execution `not_run`.
 */
export class AdmissionControl {
  constructor(
    private readonly queue: FairQueue,
    private readonly table: EngineTable,
    private readonly drainRate: DrainRate,
    private readonly limits: QueueLimits,
  ) {}

  /**
   * Refuses a request on submission if it needs more memory than any decode engine has, failed on
   * every engine, finds the queue full for its team or for all, or is a lookup whose estimated wait
   * exceeds its target.
   *
   * @param work - The submitted request.
   * @param now - Present time.
   * @returns The refusal, or undefined if the request may be queued.
   */
  refuseOnSubmit(work: QueuedWork, now: Millis): RefuseDecision | undefined {
    const { item } = work;
    if (work.pieces > this.table.maxDecodeMemoryPieces) {
      return refuse(item, 'no_capacity', 'No decode engine has enough memory for this request.');
    }
    if (
      this.table.decode.areAllExcluded(item.avoid) ||
      this.table.prefill.areAllExcluded(item.avoid)
    ) {
      // It can never be placed; in the queue it would block its team's requests until it timed out.
      return refuse(item, 'no_capacity', 'The request has failed on every engine of the pool.');
    }
    const full =
      this.queue.size >= this.limits.total ||
      this.queue.getTeamSize(item.team) >= this.limits.perTeam;
    if (full)
      return refuse(item, 'queue_full', 'Too many requests are queued.', this.getRetryAfterMs());
    return item.class === 'lookup' ? this.refuseLookup(work, now) : undefined;
  }

  /** Refuses a queued request that has reached its deadline in the queue. */
  refuseTimedOut(item: WorkItem): RefuseDecision {
    const text = 'No engine became free within the longest queue time of the request.';
    return refuse(item, 'target_missed', text, this.getRetryAfterMs());
  }

  private refuseLookup(work: QueuedWork, now: Millis): RefuseDecision | undefined {
    const { item } = work;
    if (this.table.decode.availableCount === 0 || this.table.prefill.availableCount === 0) {
      return refuse(
        item,
        'no_capacity',
        'No engine of the pool is available.',
        RETRY_AFTER_MS.unknown,
      );
    }
    if (work.giveUpAt <= now) {
      // Even an idle pool would miss the target, so the refusal has no retry-after.
      return refuse(item, 'target_missed', 'The prompt is too long for a lookup on this pool.');
    }
    const costAhead = this.queue.getCostAhead(item.team, item.weight, item.class);
    const waitMs = this.drainRate.estimateWaitMs(costAhead) ?? 0;
    const slackMs = work.giveUpAt - now;
    if (waitMs <= slackMs * LATE_WAIT_FACTOR) return undefined;
    const text = 'The estimated queue time exceeds the target for the first token.';
    return refuse(item, 'target_missed', text, clampRetryAfter(waitMs - slackMs));
  }

  /** Gets the retry-after: the time in which the queued lookups and certificates are placed. */
  private getRetryAfterMs(): Millis {
    const costAhead = this.queue.getCost('lookup') + this.queue.getCost('certificate');
    return clampRetryAfter(this.drainRate.estimateWaitMs(costAhead) ?? RETRY_AFTER_MS.unknown);
  }
}

function clampRetryAfter(waitMs: Millis): Millis {
  return Math.ceil(Math.min(RETRY_AFTER_MS.max, Math.max(RETRY_AFTER_MS.min, waitMs)));
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
