import type {
  CancelTimer,
  Clock,
  Millis,
  ModelId,
  PoolConfig,
  RandomSource,
  RequestId,
} from '@camphorvane/core';
import { runInBackground, sleep } from '@camphorvane/core';
import { FairPoolScheduler } from '@camphorvane/decisions';
import type {
  AdoptedReservation,
  EngineObservation,
  ReservationEnd,
  SchedulerDecision,
  WorkItem,
} from '@camphorvane/decisions';
import type { PeerResponse } from '@camphorvane/peer';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { admissionReport } from '../observe/admissionReport.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { LONG_POLL_MS } from './longPoll.ts';

const log = eventLog('placing');

/**
 * Milliseconds after which a waiting request is dropped unless its holder polls again: the holder has
 * crashed, and engines reserved for it would be left unused.
 */
const HOLDER_TIMEOUT_MS: Millis = 5_000;

/**
 * Milliseconds for which a new coordinator only collects reservations. Holders renew every second, so
 * within this time it learns of all reservations made by its predecessor and assigns no memory twice.
 */
const REBUILD_MS: Millis = 1_500;

/** Milliseconds between two polls of an engine's load report. */
const LOAD_POLL_PERIOD_MS: Millis = 500;

/** Consecutive failed polls after which an engine counts as down. */
const FAILURES_UNTIL_DOWN = 2;

type Responder = (res: PeerResponse) => void;

interface PendingRequest {
  readonly responders: Responder[];
  cancelTimer: CancelTimer;
}

/** Dependencies of {@link PoolCoordinator}. */
export interface PoolCoordinatorOptions {
  readonly model: ModelId;
  readonly pool: PoolConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: UpstreamDirectory;
  /** Prefix of reservation ids; unique to each coordinator and each of its starts. */
  readonly reservationPrefix: string;
  /** Milliseconds for which it only collects reservations at its start; by default {@link REBUILD_MS}. */
  readonly rebuildMs?: Millis;
  /** Tells whether this host may still coordinate the pool; checked before each decision. */
  readonly mayAct: () => boolean;
  readonly metrics?: Metrics;
}

/**
 * Runs the scheduler of one pool on the host that coordinates it.
 *
 * The scheduler makes all decisions; this class passes events to it and applies its decisions.
 */
export class PoolCoordinator {
  private readonly options: PoolCoordinatorOptions;

  private readonly scheduler: FairPoolScheduler;

  private readonly waiting = new Map<RequestId, PendingRequest>();

  private readonly stopped = new AbortController();

  private readonly rebuildUntil: Millis;

  private pool: PoolConfig;

  private cancelWake: CancelTimer = () => undefined;

  /** @param options - Dependencies. */
  constructor(options: PoolCoordinatorOptions) {
    this.options = options;
    this.pool = options.pool;
    this.scheduler = new FairPoolScheduler(options.pool, {
      random: options.random,
      reservationPrefix: options.reservationPrefix,
      controls: {
        isAdmissionOn: () => options.directory.getOverloadPolicy().admission,
        report: admissionReport(log, 'pool', options.model, options.metrics),
      },
    });
    const rebuildMs = options.rebuildMs ?? REBUILD_MS;
    this.rebuildUntil = options.clock.now() + rebuildMs;
    options.clock.after(rebuildMs, () => this.runScheduler());
    options.pool.engines.forEach((engine) => {
      runInBackground('coordinator', () => this.pollLoad(engine.id));
    });
  }

  /**
   * Queues a request, or polls one that is queued already.
   *
   * @param item - The request.
   * @returns A placement, a refusal, or that the request still waits.
   */
  reserve(item: WorkItem): Promise<PeerResponse> {
    // Lookups would miss their target if they waited for the rebuild; their host uses its fallback.
    const mustNotWait = this.now() < this.rebuildUntil && item.class !== 'summary';
    if (mustNotWait) return Promise.resolve({ type: 'not_steward', epoch: 0 });
    return new Promise((resolve) => {
      const entry = this.waiting.get(item.request) ?? {
        responders: [],
        cancelTimer: () => undefined,
      };
      entry.responders.push(resolve);
      entry.cancelTimer();
      entry.cancelTimer = this.options.clock.after(LONG_POLL_MS[item.class], () =>
        this.respondWaiting(item.request),
      );
      this.waiting.set(item.request, entry);
      this.scheduler.submit(item, this.now());
      this.runScheduler();
    });
  }

  /** Removes a request from the queue because its caller has disconnected. */
  withdraw(request: RequestId): void {
    this.scheduler.withdraw(request, this.now());
    this.respond(request, { type: 'ok' });
    this.runScheduler();
  }

  /**
   * Renews reservations, and adopts those of an earlier coordinator during the rebuild.
   *
   * @param held - Reservations that the holder still uses.
   * @returns The reservations that are lost; their requests must stop.
   */
  renew(held: readonly AdoptedReservation[]): readonly string[] {
    const now = this.now();
    const lost = held.filter((one) => !this.scheduler.renew(one.reservation, now));
    const isRebuilding = now <= this.rebuildUntil;
    if (!isRebuilding) return lost.map((one) => one.reservation);
    lost.forEach((one) => this.scheduler.adopt(one, now));
    return [];
  }

  /** Frees the prefill engine of a reservation. */
  prefillEnded(reservation: string): void {
    this.scheduler.prefillEnded(reservation, this.now());
    this.runScheduler();
  }

  /** Ends a reservation. */
  release(reservation: string, end: ReservationEnd): void {
    this.scheduler.release(reservation, end, this.now());
    this.runScheduler();
  }

  /** Passes observations of engines to the scheduler. */
  observe(observations: readonly EngineObservation[]): void {
    observations.forEach((observation) => this.scheduler.observe(observation, this.now()));
    this.runScheduler();
  }

  /** Applies a changed pool configuration. */
  reconfigure(pool: PoolConfig): void {
    if (pool === this.pool) return;
    const known = new Set(this.pool.engines.map((engine) => engine.id));
    this.pool = pool;
    pool.engines
      .filter((engine) => !known.has(engine.id))
      .forEach((engine) => {
        runInBackground('coordinator', () => this.pollLoad(engine.id));
      });
    this.scheduler.reconfigure(pool, this.now());
    this.runScheduler();
  }

  /** Tells whether there are neither waiting requests nor reservations. */
  isIdle(): boolean {
    return this.waiting.size === 0 && this.scheduler.reservationCount === 0;
  }

  /** Gets the state shown to operators. */
  dump(): object {
    return {
      model: this.options.model,
      waiting: this.waiting.size,
      reservations: this.scheduler.reservationCount,
      listening: this.now() <= this.rebuildUntil,
    };
  }

  /** Stops coordinating; waiting requests are told to ask the next coordinator. */
  stop(): void {
    this.stopped.abort();
    this.cancelWake();
    [...this.waiting.keys()].forEach((request) =>
      this.respond(request, { type: 'not_steward', epoch: 0 }),
    );
  }

  private runScheduler(): void {
    this.cancelWake();
    if (this.stopped.signal.aborted) return;
    if (!this.options.mayAct()) {
      this.stop();
      return;
    }
    const now = this.now();
    if (now < this.rebuildUntil) return;
    this.scheduler.step(now).forEach((decision) => this.applyDecision(decision));
    const wake = this.scheduler.nextWake(now);
    if (wake === undefined) return;
    this.cancelWake = this.options.clock.after(Math.max(1, wake - now), () => this.runScheduler());
  }

  private applyDecision(decision: SchedulerDecision): void {
    switch (decision.type) {
      case 'place':
        this.respond(decision.request, {
          type: 'placed',
          placement: {
            reservation: decision.reservation,
            prefill: decision.prefill,
            decode: decision.decode,
            pieces: decision.pieces,
            priority: decision.priority,
            ttlMs: decision.expiresAt - this.now(),
            expectedCachedTokens: decision.expectedCachedTokens,
          },
        });
        break;
      case 'refuse':
        this.respond(decision.request, { type: 'refused', refusal: decision.refusal });
        break;
      case 'reclaim':
        [decision.prefill, decision.decode].forEach((id) => {
          runInBackground('coordinator', () =>
            this.options.directory.getEngine(id)?.engine.cancel(decision.reservation),
          );
        });
        break;
      default:
        decision satisfies never;
    }
  }

  private respond(request: RequestId, res: PeerResponse): void {
    const entry = this.waiting.get(request);
    if (entry === undefined) return;
    entry.cancelTimer();
    this.waiting.delete(request);
    entry.responders.splice(0).forEach((respond) => respond(res));
  }

  private respondWaiting(request: RequestId): void {
    const entry = this.waiting.get(request);
    if (entry === undefined) return;
    entry.responders.splice(0).forEach((respond) => respond({ type: 'waiting' }));
    entry.cancelTimer = this.options.clock.after(HOLDER_TIMEOUT_MS, () => this.withdraw(request));
  }

  /** Polls an engine's load while this host coordinates the pool. */
  private async pollLoad(id: string): Promise<void> {
    let failures = 0;
    while (!this.stopped.signal.aborted) {
      const engine = this.options.directory.getEngine(id)?.engine;
      if (engine === undefined) return;
      const load = await engine.load();
      if (load.isOk()) {
        if (failures >= FAILURES_UNTIL_DOWN) this.observe([{ type: 'recovered', engine: id }]);
        failures = 0;
        this.observe([{ type: 'load', engine: id, load: load.value }]);
      } else {
        failures += 1;
        if (failures === FAILURES_UNTIL_DOWN) {
          this.observe([{ type: 'failed', engine: id, reason: 'down' }]);
        }
      }
      await sleep(this.options.clock, LOAD_POLL_PERIOD_MS, this.stopped.signal);
    }
  }

  private now(): Millis {
    return this.options.clock.now();
  }
}
