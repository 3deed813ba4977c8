import {
  type Millis,
  type RandomSource,
  type RequestId,
  type ReservationId,
  type UpstreamId,
  type WorkClass,
  piecesFor,
} from '@camphorvane/core';
import { Admission } from './admit/Admission.ts';
import { DrainRate } from './admit/DrainRate.ts';
import { DEFAULT_QUEUE_LIMITS, type QueueLimits } from './admit/QueueLimits.ts';
import { LinkLedger } from './ledger/LinkLedger.ts';
import { MemoryLedger } from './ledger/MemoryLedger.ts';
import { CacheExpectation } from './place/CacheExpectation.ts';
import { EngineChooser, type Placement } from './place/EngineChooser.ts';
import { EngineTable } from './place/EngineTable.ts';
import type {
  AdoptedReservation,
  EngineObservation,
  PoolScheduler,
  PoolShape,
  ReservationEnd,
  SchedulerDecision,
  WorkItem,
} from './PoolScheduler.ts';
import { ClassShares } from './queue/ClassShares.ts';
import { FairQueue } from './queue/FairQueue.ts';
import type { QueuedWork } from './queue/QueuedWork.ts';
import { ReservationBook } from './ReservationBook.ts';
import { IndexedHeap } from './structures/IndexedHeap.ts';

/** Options of a {@link FairPoolScheduler}. */
export interface FairPoolSchedulerOptions {
  readonly random: RandomSource;
  /** Put before each reservation's number; must differ between stewards. A random one if absent. */
  readonly reservationPrefix?: string;
  /** Life of a reservation that is not renewed, in milliseconds. */
  readonly reservationTtlMs?: Millis;
  readonly queueLimits?: QueueLimits;
}

/**
 * Long enough that a holder which renews each second survives two lost messages; short enough that
 * the memory of a host that died is back within seconds.
 */
const DEFAULT_RESERVATION_TTL_MS = 3_000;

/**
 * Time for which memory stays booked after its reservation was reclaimed, so that the engine has
 * dropped the request before the memory is given to another.
 */
const RECLAIM_GRACE_MS = 250;

/** Teams whose first request is tried in one class before the step gives up. */
const TEAMS_TRIED = 4;

/** Part of the expected time to the first token that is surely needed, whatever the estimate's error. */
const SURELY_NEEDED = 0.8;

const PRIORITY: Readonly<Record<WorkClass, number>> = { lookup: 0, certificate: 1, summary: 2 };

const MAX_RANDOM_PREFIX = 2 ** 31 - 1;

/**
 * The scheduler of a pool: an exact ledger of decode memory, a queue that is fair across teams, and
 * placements of prefill and decode together.
 *
 * Every call costs at most the logarithm of engines, teams and waiting requests.
 */
export class FairPoolScheduler implements PoolScheduler {
  private readonly memory = new MemoryLedger();

  private readonly links: LinkLedger;

  private readonly cache = new CacheExpectation();

  private readonly table: EngineTable;

  private readonly chooser: EngineChooser;

  private readonly queue = new FairQueue();

  private readonly shares = new ClassShares();

  private readonly drain = new DrainRate();

  private readonly waiting = new Map<RequestId, QueuedWork>();

  private readonly giveUps = new IndexedHeap<RequestId>();

  private readonly book: ReservationBook;

  private readonly admission: Admission;

  private readonly ttlMs: Millis;

  private ttftTargetMs: Millis;

  private due: SchedulerDecision[] = [];

  private linkRetryAt: Millis = Infinity;

  /**
   * @param shape - The pool.
   * @param opts - Randomness and limits.
   */
  constructor(shape: PoolShape, opts: FairPoolSchedulerOptions) {
    this.links = new LinkLedger(shape.linkPiecesPerSecond);
    this.table = new EngineTable(shape, this.memory, this.links, this.cache);
    this.chooser = new EngineChooser(this.table, this.links);
    const limits = opts.queueLimits ?? DEFAULT_QUEUE_LIMITS;
    this.admission = new Admission(this.queue, this.table, this.drain, limits);
    this.ttlMs = opts.reservationTtlMs ?? DEFAULT_RESERVATION_TTL_MS;
    this.ttftTargetMs = shape.ttftTargetMs;
    const prefix = opts.reservationPrefix ?? opts.random.int(0, MAX_RANDOM_PREFIX).toString(36);
    this.book = new ReservationBook(this.memory, this.table, prefix);
  }

  submit(item: WorkItem, now: Millis): void {
    if (this.waiting.has(item.request)) return;
    const placed = this.book.getPlaced(item.request);
    if (placed !== undefined) {
      // The answer to the first submission was lost: a second placement would hold memory twice.
      this.due.push(placed);
      return;
    }
    const work = this.toWork(item, now);
    const refusal = this.admission.refuseAtOnce(work, now);
    if (refusal !== undefined) {
      this.due.push(refusal);
      return;
    }
    this.waiting.set(item.request, work);
    this.queue.push(work);
    this.giveUps.set(item.request, work.giveUpAt);
  }

  withdraw(request: RequestId, _now: Millis): void {
    const work = this.waiting.get(request);
    if (work !== undefined) this.leaveQueue(work);
  }

  renew(reservation: ReservationId, now: Millis): boolean {
    return this.book.renew(reservation, now + this.ttlMs);
  }

  prefillEnded(reservation: ReservationId, _now: Millis): void {
    this.book.prefillEnded(reservation);
  }

  release(reservation: ReservationId, _end: ReservationEnd, _now: Millis): void {
    this.book.release(reservation);
  }

  adopt(reservation: AdoptedReservation, now: Millis): void {
    this.book.adopt(reservation, now + this.ttlMs);
  }

  observe(observation: EngineObservation, now: Millis): void {
    this.table.observe(observation, now);
  }

  reshape(shape: PoolShape, _now: Millis): void {
    this.ttftTargetMs = shape.ttftTargetMs;
    this.table.reshape(shape);
  }

  step(now: Millis): readonly SchedulerDecision[] {
    this.linkRetryAt = Infinity;
    this.table.endPauses(now);
    this.reclaimExpired(now);
    this.giveUpLate(now);
    this.drain.advance(now, this.queue.size > 0);
    while (this.placeNext(now));
    this.drain.advance(now, this.queue.size > 0);
    const decisions = this.due;
    this.due = [];
    return decisions;
  }

  nextWake(now: Millis): Millis | undefined {
    if (this.due.length > 0) return now;
    const next = Math.min(
      this.memory.nextExpiry ?? Infinity,
      this.giveUps.peekKey() ?? Infinity,
      this.linkRetryAt,
      this.table.nextTrial ?? Infinity,
    );
    return next === Infinity ? undefined : Math.max(now, next);
  }

  /** Sets whether an engine is to get no new work, because it leaves or changes its role. */
  setDraining(engine: UpstreamId, draining: boolean): void {
    this.table.setDraining(engine, draining);
  }

  /** Gets how many reservations an engine carries; a draining engine is empty at 0. */
  getHolders(engine: UpstreamId): number {
    return this.book.getHolders(engine);
  }

  /** Gets how many requests wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Gets how many reservations are booked, including those being reclaimed. */
  get reservationCount(): number {
    return this.memory.size;
  }

  private toWork(item: WorkItem, now: Millis): QueuedWork {
    const cost = item.promptTokens + item.maxOutputTokens;
    const lookup = item.class === 'lookup';
    const waitMs = lookup ? Math.min(item.maxWaitMs, this.ttftTargetMs) : item.maxWaitMs;
    const neededMs = lookup ? this.chooser.getLeastMs(item, now) * SURELY_NEEDED : 0;
    return {
      item,
      submittedAt: now,
      lateAt: now + waitMs,
      giveUpAt: now + waitMs - neededMs,
      pieces: piecesFor(cost),
      cost,
      previous: undefined,
      next: undefined,
    };
  }

  private leaveQueue(work: QueuedWork): void {
    this.waiting.delete(work.item.request);
    this.giveUps.delete(work.item.request);
    this.queue.remove(work);
  }

  private reclaimExpired(now: Millis): void {
    let reservation = this.memory.expired(now);
    while (reservation !== undefined) {
      const reclaim = this.book.reclaim(reservation, now + RECLAIM_GRACE_MS);
      if (reclaim !== undefined) this.due.push(reclaim);
      reservation = this.memory.expired(now);
    }
  }

  private giveUpLate(now: Millis): void {
    let request = this.giveUps.peek();
    while (request !== undefined && (this.giveUps.peekKey() ?? Infinity) <= now) {
      const work = this.waiting.get(request);
      if (work === undefined) this.giveUps.delete(request);
      else this.giveUp(work);
      request = this.giveUps.peek();
    }
  }

  /** Refuses a waiting request at once: held back, it would only keep its caller from leaving. */
  private giveUp(work: QueuedWork): void {
    this.leaveQueue(work);
    this.due.push(this.admission.refuseLate(work.item));
  }

  /** Places one request; false where none can be placed now. */
  private placeNext(now: Millis): boolean {
    const head = (name: WorkClass): QueuedWork | undefined => this.queue.find(name, () => true, 1);
    const order = this.shares.order((name) => head(name)?.cost);
    const waits = order.filter((name) => this.queue.getSize(name) > 0);
    // A class that waits without finding room blocks those after it, which would take the room
    // that it waits for; its own wait bound ends this.
    const [first] = waits;
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
      TEAMS_TRIED,
    );
    if (work === undefined || placement === undefined) return false;
    this.place(work, placement, now);
    return true;
  }

  private place(work: QueuedWork, placement: Placement, now: Millis): void {
    const { item } = work;
    this.leaveQueue(work);
    this.queue.charge(work);
    this.shares.charge(item.class, work.cost, (name) => this.queue.getSize(name) > 0);
    this.drain.placed(work.cost);
    this.links.take(
      placement.decode.cfg.id,
      piecesFor(item.promptTokens),
      placement.prefillReadyAt,
      now,
    );
    const priority = PRIORITY[item.class];
    this.due.push(this.book.place(work, placement, priority, now, now + this.ttlMs));
  }
}
