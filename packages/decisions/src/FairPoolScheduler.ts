import {
  type Millis,
  type RandomSource,
  type RequestId,
  type ReservationId,
  type UpstreamId,
  type WorkClass,
  piecesFor,
} from '@camphorvane/core';
import { PoolAdmission } from './admission/PoolAdmission.ts';
import { NO_QUEUE_CONTROLS, type QueueControls } from './admission/QueueControls.ts';
import { DEFAULT_QUEUE_LIMITS, type QueueLimits } from './admission/QueueLimits.ts';
import { LinkLedger } from './ledger/LinkLedger.ts';
import { MemoryLedger } from './ledger/MemoryLedger.ts';
import { PrefixCacheIndex } from './place/PrefixCacheIndex.ts';
import { EngineChooser, type Placement } from './place/EngineChooser.ts';
import { EngineTable } from './place/EngineTable.ts';
import type {
  AdoptedReservation,
  EngineObservation,
  PoolScheduler,
  PoolSchedulerConfig,
  ReservationEnd,
  SchedulerDecision,
  WorkItem,
} from './PoolScheduler.ts';
import { ClassShares } from './queue/ClassShares.ts';
import { FairQueue } from './queue/FairQueue.ts';
import type { QueuedWork } from './queue/QueuedWork.ts';
import { ReservationTable } from './ReservationTable.ts';
import { IndexedHeap } from './structures/IndexedHeap.ts';

/** Options of a {@link FairPoolScheduler}. */
export interface FairPoolSchedulerOptions {
  readonly random: RandomSource;
  /** Prefix of reservation ids, different for each coordinator; random if absent. */
  readonly reservationPrefix?: string;
  /** Milliseconds after which a reservation expires unless it is renewed. */
  readonly reservationTtlMs?: Millis;
  readonly queueLimits?: QueueLimits;
  /** Overload controls; none where absent. The order of this queue is always its own. */
  readonly controls?: QueueControls;
}

/**
 * Default time to live of a reservation. A holder that renews each second may lose two messages, and
 * the memory of a failed host is free again within seconds.
 */
const DEFAULT_RESERVATION_TTL_MS = 3_000;

/**
 * Milliseconds for which memory stays reserved after its reservation is reclaimed, so that the engine
 * has dropped the request before the memory is reserved again.
 */
const RECLAIM_GRACE_MS = 250;

/** Most teams of a class whose first request is tried for one placement. */
const MAX_TEAMS_TRIED = 4;

/** Fraction of the estimated time to the first token that is taken as its minimum, as estimates err. */
const MIN_TTFT_FRACTION = 0.8;

/** Priority passed to engines; lower goes first. */
const CLASS_PRIORITY: Readonly<Record<WorkClass, number>> = {
  lookup: 0,
  certificate: 1,
  summary: 2,
};

const MAX_RANDOM_PREFIX = 2 ** 31 - 1;

/**
 * Scheduler of a pool with an exact ledger of decode memory and a queue that is fair across teams. It
 * places prefill and decode of a request together.
 *
 * Each call takes time logarithmic in the number of engines, teams and queued requests at most.
 */
export class FairPoolScheduler implements PoolScheduler {
  private readonly memory = new MemoryLedger();

  private readonly links: LinkLedger;

  private readonly cache = new PrefixCacheIndex();

  private readonly table: EngineTable;

  private readonly chooser: EngineChooser;

  private readonly queue = new FairQueue();

  private readonly classShares = new ClassShares();

  private readonly queuedWork = new Map<RequestId, QueuedWork>();

  /** Queued requests by the time at which they are refused. */
  private readonly timeouts = new IndexedHeap<RequestId>();

  private readonly reservations: ReservationTable;

  private readonly admission: PoolAdmission;

  private readonly ttlMs: Millis;

  private ttftTargetMs: Millis;

  /** Decisions for the next `step` to return. */
  private pendingDecisions: SchedulerDecision[] = [];

  /** When to retry requests that could not be placed only because a link was busy. */
  private linkRetryAt: Millis = Infinity;

  /**
   * @param cfg - The pool's configuration.
   * @param opts - Random source and limits.
   */
  constructor(cfg: PoolSchedulerConfig, opts: FairPoolSchedulerOptions) {
    this.links = new LinkLedger(cfg.linkPiecesPerSecond);
    this.table = new EngineTable(cfg, this.memory, this.links, this.cache);
    this.chooser = new EngineChooser(this.table, this.links);
    const limits = opts.queueLimits ?? DEFAULT_QUEUE_LIMITS;
    const controls = opts.controls ?? NO_QUEUE_CONTROLS;
    this.admission = new PoolAdmission(this.queue, this.table, limits, controls);
    this.ttlMs = opts.reservationTtlMs ?? DEFAULT_RESERVATION_TTL_MS;
    this.ttftTargetMs = cfg.ttftTargetMs;
    const prefix = opts.reservationPrefix ?? opts.random.int(0, MAX_RANDOM_PREFIX).toString(36);
    this.reservations = new ReservationTable(this.memory, this.table, prefix);
  }

  submit(item: WorkItem, now: Millis): void {
    if (this.queuedWork.has(item.request)) return;
    const placed = this.reservations.getPlacement(item.request);
    if (placed !== undefined) {
      // The decision on the first submission was lost; a second placement would reserve memory twice.
      this.pendingDecisions.push(placed);
      return;
    }
    const work = this.toQueuedWork(item, now);
    const refusal = this.admission.refuseOnSubmit(work, now);
    if (refusal !== undefined) {
      this.pendingDecisions.push(refusal);
      return;
    }
    this.queuedWork.set(item.request, work);
    this.queue.push(work);
    this.timeouts.set(item.request, work.giveUpAt);
  }

  withdraw(request: RequestId, _now: Millis): void {
    const work = this.queuedWork.get(request);
    if (work !== undefined) this.dequeue(work);
  }

  renew(reservation: ReservationId, now: Millis): boolean {
    return this.reservations.renew(reservation, now + this.ttlMs);
  }

  prefillEnded(reservation: ReservationId, _now: Millis): void {
    this.reservations.prefillEnded(reservation);
  }

  release(reservation: ReservationId, end: ReservationEnd, now: Millis): void {
    const reservedAt = this.reservations.getReservedAt(reservation);
    if (end === 'done' && reservedAt !== undefined) this.admission.holds.record(now - reservedAt);
    this.reservations.release(reservation);
  }

  adopt(reservation: AdoptedReservation, now: Millis): void {
    this.reservations.adopt(reservation, now + this.ttlMs);
  }

  observe(observation: EngineObservation, now: Millis): void {
    this.table.observe(observation, now);
  }

  reconfigure(cfg: PoolSchedulerConfig, _now: Millis): void {
    this.ttftTargetMs = cfg.ttftTargetMs;
    this.table.reconfigure(cfg);
  }

  step(now: Millis): readonly SchedulerDecision[] {
    this.linkRetryAt = Infinity;
    this.table.endExpiredPauses(now);
    this.reclaimExpired(now);
    this.refuseTimedOut(now);
    this.admission.estimator.recordQueued(this.queue.size, now);
    while (this.placeNext(now));
    this.refuseTooLate(now);
    this.admission.recordState((work) => this.chooser.choose(work, now).type === 'placed', now);
    const decisions = this.pendingDecisions;
    this.pendingDecisions = [];
    return decisions;
  }

  nextWake(now: Millis): Millis | undefined {
    if (this.pendingDecisions.length > 0) return now;
    const next = Math.min(
      this.memory.nextExpiry ?? Infinity,
      this.timeouts.peekKey() ?? Infinity,
      this.linkRetryAt,
      this.table.nextPauseEnd ?? Infinity,
      this.admission.nextReviewAt,
    );
    return next === Infinity ? undefined : Math.max(now, next);
  }

  /** Sets whether an engine gets no new work, since it leaves the pool or changes its role. */
  setDraining(engine: UpstreamId, draining: boolean): void {
    this.table.setDraining(engine, draining);
  }

  /** Gets the number of reservations that use an engine; a draining engine has none left once it is drained. */
  countReservations(engine: UpstreamId): number {
    return this.reservations.countReservations(engine);
  }

  /** Gets the number of queued requests. */
  get queuedCount(): number {
    return this.queuedWork.size;
  }

  /** Gets the number of reservations, including those being reclaimed. */
  get reservationCount(): number {
    return this.memory.size;
  }

  private toQueuedWork(item: WorkItem, now: Millis): QueuedWork {
    const cost = item.promptTokens + item.maxOutputTokens;
    const isLookup = item.class === 'lookup';
    const waitMs = isLookup ? Math.min(item.maxWaitMs, this.ttftTargetMs) : item.maxWaitMs;
    const minTtftMs = isLookup ? this.chooser.getMinTtftMs(item, now) * MIN_TTFT_FRACTION : 0;
    return {
      item,
      submittedAt: now,
      lateAt: now + waitMs,
      giveUpAt: now + waitMs - minTtftMs,
      pieces: piecesFor(cost),
      cost,
      estimatedMs: undefined,
      previous: undefined,
      next: undefined,
    };
  }

  private dequeue(work: QueuedWork): void {
    this.queuedWork.delete(work.item.request);
    this.timeouts.delete(work.item.request);
    this.queue.remove(work);
  }

  private reclaimExpired(now: Millis): void {
    let reservation = this.memory.getExpired(now);
    while (reservation !== undefined) {
      const reclaim = this.reservations.reclaim(reservation, now + RECLAIM_GRACE_MS);
      if (reclaim !== undefined) this.pendingDecisions.push(reclaim);
      reservation = this.memory.getExpired(now);
    }
  }

  private refuseTimedOut(now: Millis): void {
    let request = this.timeouts.peek();
    while (request !== undefined && (this.timeouts.peekKey() ?? Infinity) <= now) {
      const work = this.queuedWork.get(request);
      if (work === undefined) this.timeouts.delete(request);
      else this.refuse(work, now);
      request = this.timeouts.peek();
    }
  }

  /** Refuses a queued request now: a later refusal would only keep its caller from going elsewhere. */
  private refuse(work: QueuedWork, now: Millis): void {
    this.dequeue(work);
    this.pendingDecisions.push(this.admission.refuseTimedOut(work, now));
  }

  /** Refuses queued requests that can no longer start in time by their expected wait. */
  private refuseTooLate(now: Millis): void {
    this.admission.review(now).forEach(({ work, decision }) => {
      this.dequeue(work);
      this.pendingDecisions.push(decision);
    });
  }

  /** Places one request; false if none can be placed now. */
  private placeNext(now: Millis): boolean {
    const head = (name: WorkClass): QueuedWork | undefined => this.queue.find(name, () => true, 1);
    const order = this.classShares.order((name) => head(name)?.cost);
    const queuedClasses = order.filter((name) => this.queue.getSize(name) > 0);
    // A first class that can't be placed blocks the others, which would take the capacity that it waits
    // for. This ends at the latest when its requests reach their longest time in the queue.
    const [first] = queuedClasses;
    return first !== undefined && this.placeOfClass(first, now);
  }

  private placeOfClass(name: WorkClass, now: Millis): boolean {
    let placement: Placement | undefined;
    const work = this.queue.find(
      name,
      (candidate) => {
        const result = this.chooser.choose(candidate, now);
        if (result.type === 'placed') placement = result.placement;
        if (result.type === 'link_busy') {
          this.linkRetryAt = Math.min(this.linkRetryAt, result.retryAt);
        }
        return result.type === 'placed';
      },
      MAX_TEAMS_TRIED,
    );
    if (work === undefined || placement === undefined) return false;
    this.place(work, placement, now);
    return true;
  }

  private place(work: QueuedWork, placement: Placement, now: Millis): void {
    const { item } = work;
    this.dequeue(work);
    this.queue.charge(work);
    this.classShares.charge(item.class, work.cost, (name) => this.queue.getSize(name) > 0);
    this.admission.recordPlaced(work, now);
    this.links.book(
      placement.decode.cfg.id,
      piecesFor(item.promptTokens),
      placement.prefillReadyAt,
      now,
    );
    const priority = CLASS_PRIORITY[item.class];
    this.pendingDecisions.push(
      this.reservations.reserve(work, placement, priority, now, now + this.ttlMs),
    );
  }
}
