import type {
  CancelTimer,
  Clock,
  Millis,
  ModelId,
  PoolConfig,
  RandomSource,
  RequestId,
} from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
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
import { WAITING_ANSWER_MS } from './waitingAnswer.ts';

/**
 * Milliseconds after which a waiting request whose holder has not asked again is dropped: the
 * holder has died, and a place given to it would hold engine memory for nobody.
 */
const HOLDER_SILENCE_MS: Millis = 5_000;

/**
 * Milliseconds for which a new steward only listens. Holders renew each second, so within this time
 * every reservation made by an earlier steward has been shown and none is given away twice.
 */
const REBUILD_MS: Millis = 1_500;

/** Milliseconds between two load reports read from an engine. */
const LOAD_PERIOD_MS: Millis = 500;

/** Load reports that must fail in a row before an engine counts as down. */
const FAILURES_UNTIL_DOWN = 2;

type Answer = (res: PeerResponse) => void;

interface Waiting {
  readonly answers: Answer[];
  cancelTimer: CancelTimer;
}

/** What a pool steward is made of. */
export interface PoolStewardOptions {
  readonly model: ModelId;
  readonly pool: PoolConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: UpstreamDirectory;
  /** Put before each reservation's id; differs between stewards and between their starts. */
  readonly prefix: string;
  /** Milliseconds for which it only listens at its start; {@link REBUILD_MS} unless given. */
  readonly listenMs?: Millis;
  /** Asked before anything is decided. */
  readonly mayAct: () => boolean;
}

/**
 * Runs the scheduler of one pool on the host that coordinates it.
 *
 * All decisions are the scheduler's; this class feeds it with what happens and carries out what it
 * decides.
 */
export class PoolSteward {
  private readonly options: PoolStewardOptions;

  private readonly scheduler: FairPoolScheduler;

  private readonly waiting = new Map<RequestId, Waiting>();

  private readonly stopped = new AbortController();

  private readonly listenUntil: Millis;

  private pool: PoolConfig;

  private cancelWake: CancelTimer = () => undefined;

  /** @param options - What the steward is made of. */
  constructor(options: PoolStewardOptions) {
    this.options = options;
    this.pool = options.pool;
    this.scheduler = new FairPoolScheduler(options.pool, {
      random: options.random,
      reservationPrefix: options.prefix,
    });
    const listenMs = options.listenMs ?? REBUILD_MS;
    this.listenUntil = options.clock.now() + listenMs;
    options.clock.after(listenMs, () => this.pump());
    options.pool.engines.forEach((engine) => {
      void this.pollLoad(engine.id);
    });
  }

  /**
   * Asks for a place; the same request may ask again while it waits.
   *
   * @param item - The request.
   * @returns A place, a refusal, or that it still waits.
   */
  reserve(item: WorkItem): Promise<PeerResponse> {
    // A steward that only listens would let lookups wait past their target; their host places them.
    const mustNotWait = this.now() < this.listenUntil && item.class !== 'summary';
    if (mustNotWait) return Promise.resolve({ type: 'not_steward', epoch: 0 });
    return new Promise((resolve) => {
      const entry = this.waiting.get(item.request) ?? { answers: [], cancelTimer: () => undefined };
      entry.answers.push(resolve);
      entry.cancelTimer();
      entry.cancelTimer = this.options.clock.after(WAITING_ANSWER_MS[item.class], () =>
        this.tellWaiting(item.request),
      );
      this.waiting.set(item.request, entry);
      this.scheduler.submit(item, this.now());
      this.pump();
    });
  }

  /** Takes a request out of the queue because its caller has gone. */
  withdraw(request: RequestId): void {
    this.scheduler.withdraw(request, this.now());
    this.answer(request, { type: 'ok' });
    this.pump();
  }

  /**
   * Extends reservations, and takes over those of an earlier steward.
   *
   * @param held - What the holder still uses.
   * @returns The reservations that the holder must give up.
   */
  renew(held: readonly AdoptedReservation[]): readonly string[] {
    const now = this.now();
    const lost = held.filter((one) => !this.scheduler.renew(one.reservation, now));
    const listening = now <= this.listenUntil;
    if (!listening) return lost.map((one) => one.reservation);
    lost.forEach((one) => this.scheduler.adopt(one, now));
    return [];
  }

  /** Marks that the prefill of a reservation is over. */
  prefillEnded(reservation: string): void {
    this.scheduler.prefillEnded(reservation, this.now());
    this.pump();
  }

  /** Ends a reservation. */
  release(reservation: string, end: ReservationEnd): void {
    this.scheduler.release(reservation, end, this.now());
    this.pump();
  }

  /** Takes in what hosts saw of engines. */
  observe(observations: readonly EngineObservation[]): void {
    observations.forEach((one) => this.scheduler.observe(one, this.now()));
    this.pump();
  }

  /** Takes a changed pool into force. */
  reshape(pool: PoolConfig): void {
    if (pool === this.pool) return;
    const known = new Set(this.pool.engines.map((engine) => engine.id));
    this.pool = pool;
    pool.engines
      .filter((engine) => !known.has(engine.id))
      .forEach((engine) => {
        void this.pollLoad(engine.id);
      });
    this.scheduler.reshape(pool, this.now());
    this.pump();
  }

  /** Tells whether nothing waits and nothing is reserved. */
  isIdle(): boolean {
    return this.waiting.size === 0 && this.scheduler.reservationCount === 0;
  }

  /** Gets the state to be shown to operators. */
  dump(): object {
    return {
      model: this.options.model,
      waiting: this.waiting.size,
      reservations: this.scheduler.reservationCount,
      listening: this.now() <= this.listenUntil,
    };
  }

  /** Ends coordinating; everything that waits is sent to the next steward. */
  stop(): void {
    this.stopped.abort();
    this.cancelWake();
    [...this.waiting.keys()].forEach((request) =>
      this.answer(request, { type: 'not_steward', epoch: 0 }),
    );
  }

  private pump(): void {
    this.cancelWake();
    if (this.stopped.signal.aborted) return;
    if (!this.options.mayAct()) {
      this.stop();
      return;
    }
    const now = this.now();
    if (now < this.listenUntil) return;
    this.scheduler.step(now).forEach((decision) => this.carryOut(decision));
    const wake = this.scheduler.nextWake(now);
    if (wake === undefined) return;
    this.cancelWake = this.options.clock.after(Math.max(1, wake - now), () => this.pump());
  }

  private carryOut(decision: SchedulerDecision): void {
    switch (decision.type) {
      case 'place':
        this.answer(decision.request, {
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
        this.answer(decision.request, { type: 'refused', refusal: decision.refusal });
        break;
      case 'reclaim':
        [decision.prefill, decision.decode].forEach((id) => {
          void this.options.directory.getEngine(id)?.engine.cancel(decision.reservation);
        });
        break;
      default:
        decision satisfies never;
    }
  }

  private answer(request: RequestId, res: PeerResponse): void {
    const entry = this.waiting.get(request);
    if (entry === undefined) return;
    entry.cancelTimer();
    this.waiting.delete(request);
    entry.answers.splice(0).forEach((answer) => answer(res));
  }

  private tellWaiting(request: RequestId): void {
    const entry = this.waiting.get(request);
    if (entry === undefined) return;
    entry.answers.splice(0).forEach((answer) => answer({ type: 'waiting' }));
    entry.cancelTimer = this.options.clock.after(HOLDER_SILENCE_MS, () => this.withdraw(request));
  }

  /** Reads one engine's load for as long as this host coordinates the pool. */
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
      await sleep(this.options.clock, LOAD_PERIOD_MS, this.stopped.signal);
    }
  }

  private now(): Millis {
    return this.options.clock.now();
  }
}
