import type { Millis, Refusal, RequestId, TeamId } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import type { ReturnStatus } from '../turns/TurnScheduler.ts';
import type { AdmissionDecision, AdmissionStage, ExpectedWaits } from './AdmissionDecision.ts';
import { mayWait } from './AdmissionDecision.ts';
import type { CallerTimes } from './CallerTimes.ts';
import { IdleRefusals } from './IdleRefusals.ts';
import { MeanHold } from './MeanHold.ts';
import { MeasuredRate } from './MeasuredRate.ts';
import type { QueueControls } from './QueueControls.ts';
import { retryAfter } from './retryAfter.ts';
import { WaitEstimator } from './WaitEstimator.ts';

/** Milliseconds between two checks of the queued requests; a call to a plain service takes about as long. */
export const REVIEW_PERIOD_MS: Millis = 50;

/** Time constant of the measured arrival rate, in milliseconds. */
const ARRIVAL_DECAY_MS: Millis = 1_000;

/** Least time over which arrivals are averaged, in milliseconds: the first one alone has no rate. */
const MIN_ARRIVAL_MS: Millis = 200;

/** Shortest retry-after of a refusal, in milliseconds: a new connection takes about as long. */
const MIN_RETRY_AFTER_MS: Millis = 10;

/** A request of a queue, as admission sees it; each takes one unit. */
export interface AdmissionRequest {
  readonly request: RequestId;
  readonly team: TeamId;
  /** Lower goes first. */
  readonly priority: number;
  /** Time from which a start makes the request late. */
  readonly lateAt: Millis;
  /** Time at which the request is given up. */
  readonly giveUpAt: Millis;
  readonly returnStatus: ReturnStatus;
  /** What is known of the caller's wait; absent where nothing is. */
  readonly callerTimes?: CallerTimes;
}

/** A queued request, with what admission recorded when it was queued. */
export interface AdmittedRequest extends AdmissionRequest {
  readonly queuedAt: Millis;
  /** Estimate made on its arrival; undefined where it could start at once or nothing was known. */
  readonly estimate: WaitEstimate | undefined;
}

/** An estimated wait. */
export interface WaitEstimate {
  readonly waitMs: Millis;
  /** The estimate before it was corrected by the waits of earlier requests. */
  readonly uncorrectedMs: Millis;
}

/** How fast requests leave a queue and arrive at it. */
interface Flow {
  /** Requests per millisecond that start; undefined while nothing is known. */
  readonly drainPerMs: number | undefined;
  /** Requests per millisecond that arrive and can be on time. */
  readonly arrivalsPerMs: number;
  /** Factor by which estimated waits are corrected. */
  readonly correction: number;
}

/** Settings of the admission to one queue. */
export interface QueueAdmissionOptions {
  /** Time constant of the measured drain rate, in milliseconds with queued work. */
  readonly drainDecayMs: Millis;
  /** Message of a refusal. */
  readonly message: string;
  /** Retry-after of a refusal while nothing is known of the drain rate, in milliseconds. */
  readonly unknownRetryAfterMs: Millis;
}

/** Code and message of a refusal for lack of capacity. */
interface RefusalText {
  readonly code: 'target_missed' | 'queue_full';
  readonly message: string;
}

/**
 * Admission to one queue of this host, by expected wait.
 *
 * Load: a burst of several times the capacity, or capacity that is lost while requests wait. The queue
 * orders its requests and reports what happens to them, also while admission is off, so that measurements
 * exist when it is switched on. This class tells which requests may wait, and when refused callers may retry.
 */
export class QueueAdmission {
  readonly estimator: WaitEstimator;

  readonly holds = new MeanHold();

  /** Arrivals that can be on time. */
  private readonly arrivals = new MeasuredRate(ARRIVAL_DECAY_MS);

  private readonly idleRefusals = new IdleRefusals();

  private readonly options: QueueAdmissionOptions;

  private readonly controls: QueueControls;

  private reviewedAt: Millis = -Infinity;

  /**
   * @param options - Settings of the queue.
   * @param controls - What is switched on for it.
   */
  constructor(options: QueueAdmissionOptions, controls: QueueControls) {
    this.options = options;
    this.controls = controls;
    this.estimator = new WaitEstimator(options.drainDecayMs);
  }

  /** Gets whether admission by expected wait is on. */
  isOn(): boolean {
    return this.controls.isAdmissionOn();
  }

  /** Records the arrival of a request, before any decision on it. */
  recordArrival({ lateAt }: AdmissionRequest, now: Millis): void {
    this.arrivals.advance(now, true);
    if (lateAt > now) this.arrivals.record(1);
  }

  /**
   * Decides on a request that arrives and can't start at once.
   *
   * @param req - The request.
   * @param ahead - Queued requests that go first.
   * @param backlog - All queued requests.
   * @param now - Present time.
   * @returns The decision.
   */
  decide(req: AdmissionRequest, ahead: number, backlog: number, now: Millis): AdmissionDecision {
    const waits = expectWaits(this.measureFlow(now), req, ahead, backlog, now);
    if (mayWait(req, waits, now)) return { type: 'queue' };
    const refusal = this.refuse(req, 'arrival', waits.waitMs, backlog, now);
    this.idleRefusals.record({
      refusedAt: now,
      // Capacity that becomes free after the caller would have been refused anyway proves nothing.
      waitMs: Math.min(waits.waitMs, req.giveUpAt - now),
      uncorrectedMs: waits.waitMs / this.estimator.correction,
    });
    return { type: 'refuse', refusal };
  }

  /** Estimates the wait of a request behind a number of others; undefined while nothing is known. */
  estimate(ahead: number, now: Millis): WaitEstimate | undefined {
    const uncorrectedMs = this.estimator.estimateUncorrectedMs(ahead + 1, now);
    if (uncorrectedMs === undefined) return undefined;
    return { waitMs: uncorrectedMs * this.estimator.correction, uncorrectedMs };
  }

  /** Gets when the queued requests are due for {@link QueueAdmission.review}. */
  get nextReviewAt(): Millis {
    return this.reviewedAt + REVIEW_PERIOD_MS;
  }

  /**
   * Repeats the decision for the queued requests, the last one in queue order first.
   *
   * @param queued - All queued requests, in any order.
   * @param compare - Comparator of the queue order.
   * @param now - Present time.
   * @returns The requests that can no longer be served, with their refusals.
   */
  review<T extends AdmittedRequest>(
    queued: readonly T[],
    compare: (a: T, b: T) => number,
    now: Millis,
  ): readonly { readonly request: RequestId; readonly refusal: Refusal }[] {
    this.reviewedAt = now;
    const flow = this.measureFlow(now);
    let remaining = queued.length;
    // Sorting a long queue is costly, and not needed where each request could wait behind all others.
    const couldAllBeLast = queued.every((req) =>
      mayWait(req, expectWaits(flow, req, remaining - 1, remaining - 1, now), now),
    );
    if (couldAllBeLast) return [];
    return [...queued]
      .sort(compare)
      .map((req, ahead) => ({ req, ahead }))
      .reverse()
      .flatMap(({ req, ahead }) => {
        const waits = expectWaits(flow, req, ahead, remaining - 1, now);
        if (mayWait(req, waits, now)) return [];
        remaining -= 1;
        this.recordUnserved(req, waits.waitMs, now);
        const refusal = this.refuse(req, 'queued', waits.waitMs, remaining, now);
        return [{ request: req.request, refusal }];
      });
  }

  /**
   * Refuses a request whose wait has ended, or for which the queue has no room.
   *
   * @param req - The request.
   * @param backlog - All queued requests.
   * @param text - Code and message of the refusal.
   * @param now - Present time.
   * @returns The refusal, which tells when there will be capacity.
   */
  refuseFor(req: AdmissionRequest, backlog: number, text: RefusalText, now: Millis): Refusal {
    return notRun(text.code, text.message, this.retryAfterMs(req, backlog, now));
  }

  /** Records that a queued request starts, or one that did not have to wait. */
  recordStarted({ queuedAt, estimate }: AdmittedRequest, now: Millis): void {
    this.estimator.recordStarted(now - queuedAt, estimate?.uncorrectedMs, 1, now);
  }

  /**
   * Records a queued request that is refused: its wait would have been at least as long as it was up to
   * now and is expected to go on, which corrects the estimate made on its arrival.
   *
   * @param req - The request.
   * @param waitMs - Its expected further wait.
   * @param now - Present time.
   */
  recordUnserved({ queuedAt, estimate }: AdmittedRequest, waitMs: Millis, now: Millis): void {
    const furtherMs = waitMs / this.estimator.correction;
    this.estimator.recordWait(now - queuedAt + furtherMs, estimate?.uncorrectedMs);
  }

  /**
   * Records the state of the queue after its decisions.
   *
   * @param queued - Queued requests.
   * @param hasFreeCapacity - Tells whether another request could start now.
   * @param now - Present time.
   */
  recordState(queued: number, hasFreeCapacity: () => boolean, now: Millis): void {
    this.estimator.recordQueued(queued, now);
    if (!this.isOn() || queued > 0 || !this.idleRefusals.isWatching || !hasFreeCapacity()) return;
    const wrong = this.idleRefusals.takeWrong(now);
    wrong.forEach(({ refusedAt, uncorrectedMs }) =>
      this.estimator.recordWait(now - refusedAt, uncorrectedMs),
    );
    if (wrong.length === 0) return;
    this.controls.report?.({ type: 'refused_while_idle', count: wrong.length });
  }

  private measureFlow(now: Millis): Flow {
    const arrivalsPerMs = perMsOf(this.arrivals, now);
    const { correction } = this.estimator;
    return { drainPerMs: this.estimator.getDrainPerMs(now), arrivalsPerMs, correction };
  }

  private refuse(
    req: AdmissionRequest,
    stage: AdmissionStage,
    waitMs: Millis,
    backlog: number,
    now: Millis,
  ): Refusal {
    const { message } = this.options;
    const refusal = this.refuseFor(req, backlog, { code: 'target_missed', message }, now);
    this.controls.report?.({
      type: 'refused',
      request: req.request,
      team: req.team,
      stage,
      waitMs,
      leftMs: req.lateAt - now,
      drainPerMs: this.estimator.getDrainPerMs(now),
      measuredMs: this.estimator.getMeasuredMs(now),
      backlog,
      correction: this.estimator.correction,
      retryAfterMs: refusal.retryAfterMs ?? 0,
    });
    return refusal;
  }

  /** Gets when there will be capacity: once the present backlog has drained, or at the caller's turn. */
  private retryAfterMs(req: AdmissionRequest, backlog: number, now: Millis): Millis {
    const drainPerMs = this.estimator.getDrainPerMs(now);
    if (drainPerMs === undefined) return this.options.unknownRetryAfterMs;
    const { team, priority, callerTimes, giveUpAt } = req;
    const leftMs = (callerTimes?.deadlineAt ?? giveUpAt) - now;
    const turnRequest = { team, priority, units: 1, leftMs, targetMs: callerTimes?.targetMs ?? 0 };
    const backlogMs = this.estimator.estimateWaitMs(backlog + 1, now);
    const drain = { drainPerMs, backlogMs };
    return retryAfter(this.controls.turns?.(), turnRequest, drain, MIN_RETRY_AFTER_MS, now);
  }
}

function perMsOf(arrivals: MeasuredRate, now: Millis): number {
  const { units, ms } = arrivals.getSample(now);
  return units / Math.max(MIN_ARRIVAL_MS, ms);
}

function expectWaits(
  { drainPerMs, arrivalsPerMs, correction }: Flow,
  { lateAt }: AdmissionRequest,
  ahead: number,
  others: number,
  now: Millis,
): ExpectedWaits {
  if (drainPerMs === undefined) return { waitMs: 0, lateWaitMs: 0 };
  const waitMs = ((ahead + 1) / drainPerMs) * correction;
  // A request that is late already has its place behind the others; one that becomes late loses its place.
  const aheadWhenLate = lateAt <= now ? ahead : others;
  const sparePerMs = drainPerMs - arrivalsPerMs;
  const lateWaitMs = sparePerMs > 0 ? ((aheadWhenLate + 1) / sparePerMs) * correction : Infinity;
  return { waitMs, lateWaitMs };
}
