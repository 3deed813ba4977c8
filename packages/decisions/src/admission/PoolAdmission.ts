import { type Millis, type Tokens, notRun } from '@camphorvane/core';
import type { EngineTable } from '../place/EngineTable.ts';
import type { SchedulerDecision, WorkItem } from '../PoolScheduler.ts';
import type { FairQueue } from '../queue/FairQueue.ts';
import { WORK_CLASSES } from '../queue/FairQueue.ts';
import type { QueuedWork } from '../queue/QueuedWork.ts';
import type { AdmissionStage } from './AdmissionDecision.ts';
import { canStartInTime } from './AdmissionDecision.ts';
import { IdleRefusals } from './IdleRefusals.ts';
import { MeanHold } from './MeanHold.ts';
import { REVIEW_PERIOD_MS } from './QueueAdmission.ts';
import type { QueueControls } from './QueueControls.ts';
import type { QueueLimits } from './QueueLimits.ts';
import { retryAfter } from './retryAfter.ts';
import { WaitEstimator } from './WaitEstimator.ts';

/** Bounds of a refusal's retry-after, and its value while the drain rate is unknown, in milliseconds. */
const RETRY_AFTER_MS = { min: 100, max: 60_000, unknown: 1_000 };

/** Time constant of the measured drain rate, in milliseconds during which work was queued. */
const DRAIN_DECAY_MS: Millis = 3_000;

const TOO_LATE = 'The estimated queue time exceeds the target for the first token.';

/** The scheduler decision that refuses a request. */
export type RefuseDecision = Extract<SchedulerDecision, { type: 'refuse' }>;

/**
 * Admission to the queue of a pool with a coordinator, in tokens: refuses requests that can't be served in
 * time.
 *
 * Under overload such a request is refused early, while its caller can still go elsewhere, and the
 * refusal says when a retry makes sense. Only work that was never dispatched to an engine is refused
 * here, so every refusal has execution `not_run`. Lookups are always refused by their estimated wait on
 * submission; with admission on, estimates use the capacity of the engines and correct themselves, and the
 * decision covers all classes and is repeated for queued requests.
 */
export class PoolAdmission {
  readonly estimator = new WaitEstimator(DRAIN_DECAY_MS);

  readonly holds = new MeanHold();

  private readonly idleRefusals = new IdleRefusals();

  private lastRefused: QueuedWork | undefined;

  private reviewedAt: Millis = -Infinity;

  constructor(
    private readonly queue: FairQueue,
    private readonly table: EngineTable,
    private readonly limits: QueueLimits,
    private readonly controls: QueueControls,
  ) {}

  /**
   * Refuses a request on submission if it needs more memory than any decode engine has, failed on
   * every engine, finds the queue full for its team or for all, or can't start in time by its estimated
   * wait.
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
    if (full) {
      const text = 'Too many requests are queued.';
      return refuse(item, 'queue_full', text, this.getRetryAfterMs(work, now));
    }
    if (item.class === 'lookup') return this.refuseLookup(work, now);
    return this.isOn()
      ? this.refuseByWait(work, this.getCostAhead(work), 'arrival', now)
      : undefined;
  }

  /** Refuses a queued request that has reached its deadline in the queue. */
  refuseTimedOut(work: QueuedWork, now: Millis): RefuseDecision {
    const text = 'No engine became free within the longest queue time of the request.';
    return refuse(work.item, 'target_missed', text, this.getRetryAfterMs(work, now));
  }

  /**
   * Refuses queued requests that can no longer start in time, the last one of each team first, up to the
   * first one that can.
   *
   * @param now - Present time.
   * @returns The requests, which stay in the queue, with their refusals.
   */
  review(now: Millis): readonly { readonly work: QueuedWork; readonly decision: RefuseDecision }[] {
    const isDue = this.isOn() && this.queue.size > 0 && now >= this.reviewedAt + REVIEW_PERIOD_MS;
    if (!isDue) return [];
    this.reviewedAt = now;
    this.updatePrior();
    return WORK_CLASSES.flatMap((name) =>
      this.queue.getLastOfTeams(name).flatMap((last) => this.reviewTeam(last, now)),
    );
  }

  /** Gets when {@link PoolAdmission.review} is due; infinite where nothing is queued or admission is off. */
  get nextReviewAt(): Millis {
    return this.isOn() && this.queue.size > 0 ? this.reviewedAt + REVIEW_PERIOD_MS : Infinity;
  }

  /** Records a request that is placed. */
  recordPlaced({ submittedAt, estimatedMs, cost }: QueuedWork, now: Millis): void {
    this.estimator.recordStarted(now - submittedAt, estimatedMs, cost, now);
  }

  /**
   * Records the state of the queue after its decisions.
   *
   * @param canPlace - Tells whether a request could be placed now.
   * @param now - Present time.
   */
  recordState(canPlace: (work: QueuedWork) => boolean, now: Millis): void {
    this.estimator.recordQueued(this.queue.size, now);
    const { lastRefused } = this;
    if (!this.isOn() || this.queue.size > 0 || lastRefused === undefined || !canPlace(lastRefused))
      return;
    const wrong = this.idleRefusals.takeWrong(now);
    this.lastRefused = undefined;
    wrong.forEach(({ refusedAt, uncorrectedMs }) =>
      this.estimator.recordWait(now - refusedAt, uncorrectedMs),
    );
    if (wrong.length === 0) return;
    this.controls.report?.({ type: 'refused_while_idle', count: wrong.length });
  }

  private isOn(): boolean {
    return this.controls.isAdmissionOn();
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
    const costAhead = this.getCostAhead(work);
    if (this.isOn()) return this.refuseByWait(work, costAhead, 'arrival', now);
    const waitMs = this.estimator.estimateMeasuredMs(costAhead) ?? 0;
    const slackMs = work.giveUpAt - now;
    if (canStartInTime(waitMs, slackMs)) return undefined;
    return refuse(item, 'target_missed', TOO_LATE, clampRetryAfter(waitMs - slackMs));
  }

  /** Decides with admission on; records the estimate of a request that is queued. */
  private refuseByWait(
    work: QueuedWork,
    costAhead: Tokens,
    stage: AdmissionStage,
    now: Millis,
  ): RefuseDecision | undefined {
    if (stage === 'arrival') this.updatePrior();
    const leftMs = work.giveUpAt - now;
    const uncorrectedMs = this.estimator.estimateUncorrectedMs(costAhead, now);
    const { correction } = this.estimator;
    const waitMs = (uncorrectedMs ?? 0) * correction;
    if (canStartInTime(waitMs, leftMs)) {
      const queued = work;
      if (stage === 'arrival') queued.estimatedMs = uncorrectedMs;
      return undefined;
    }
    if (stage === 'arrival' && uncorrectedMs !== undefined) {
      const watched = { refusedAt: now, waitMs: Math.min(waitMs, leftMs), uncorrectedMs };
      this.idleRefusals.record(watched);
      this.lastRefused = work;
    }
    if (stage === 'queued' && uncorrectedMs !== undefined) {
      this.estimator.recordWait(now - work.submittedAt + uncorrectedMs, work.estimatedMs);
    }
    const { request, team } = work.item;
    const retryAfterMs = this.getRetryAfterMs(work, now);
    this.controls.report?.({
      ...{ type: 'refused', request, team, stage, waitMs, leftMs, correction, retryAfterMs },
      drainPerMs: this.estimator.getDrainPerMs(now),
      measuredMs: this.estimator.getMeasuredMs(now),
      backlog: this.getBacklog(),
    });
    return refuse(work.item, 'target_missed', TOO_LATE, retryAfterMs);
  }

  private reviewTeam(
    last: QueuedWork,
    now: Millis,
  ): readonly { readonly work: QueuedWork; readonly decision: RefuseDecision }[] {
    const refused: { readonly work: QueuedWork; readonly decision: RefuseDecision }[] = [];
    let work: QueuedWork | undefined = last;
    let behind: Tokens = 0;
    while (work !== undefined) {
      behind += work.cost;
      const decision = this.refuseByWait(work, this.getCostAhead(work, behind), 'queued', now);
      if (decision === undefined) return refused;
      refused.push({ work, decision });
      work = work.previous;
    }
    return refused;
  }

  /**
   * Gets the tokens that are placed before a request: those of its class, and with admission on also those
   * of the classes that go first.
   *
   * @param work - The request.
   * @param behind - Tokens of its team and class that are queued with it and behind it.
   */
  private getCostAhead({ item }: QueuedWork, behind: Tokens = 0): Tokens {
    const inClass = this.queue.getCostAhead(item.team, item.weight, item.class, behind);
    if (!this.isOn()) return inClass;
    const before = WORK_CLASSES.slice(0, WORK_CLASSES.indexOf(item.class));
    return before.reduce((sum, name) => sum + this.queue.getCost(name), inClass);
  }

  /** The expected drain rate: the memory of the available decode engines, by the mean hold time. */
  private updatePrior(): void {
    this.estimator.setPrior(this.table.decode.getAvailableTokens(), this.holds.get());
  }

  private getBacklog(): Tokens {
    return this.queue.getCost('lookup') + this.queue.getCost('certificate');
  }

  /** Gets the retry-after: the time in which the queued lookups and certificates are placed. */
  private getRetryAfterMs(work: QueuedWork, now: Millis): Millis {
    const backlog = this.getBacklog();
    if (!this.isOn()) {
      return clampRetryAfter(this.estimator.estimateMeasuredMs(backlog) ?? RETRY_AFTER_MS.unknown);
    }
    const drainPerMs = this.estimator.getDrainPerMs(now);
    if (drainPerMs === undefined) return RETRY_AFTER_MS.unknown;
    const { team, priority = WORK_CLASSES.indexOf(work.item.class), callerTimes } = work.item;
    const leftMs = (callerTimes?.deadlineAt ?? work.giveUpAt) - now;
    const request = {
      team,
      priority,
      units: work.cost,
      leftMs,
      targetMs: callerTimes?.targetMs ?? 0,
    };
    const drain = { drainPerMs, backlogMs: this.estimator.estimateWaitMs(backlog, now) };
    return retryAfter(this.controls.turns?.(), request, drain, RETRY_AFTER_MS.min, now);
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
