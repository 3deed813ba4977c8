import type {
  Clock,
  EngineConfig,
  Millis,
  ModelId,
  PoolConfig,
  RandomSource,
} from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';
import type { AdoptedReservation, ReservationEnd, WorkItem } from '@camphorvane/decisions';
import type { PeerResponse } from '@camphorvane/peer';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { PoolCoordinator } from './PoolCoordinator.ts';

/** Milliseconds without a request after which the fallback of a pool is closed, if it is idle. */
const IDLE_TIMEOUT_MS: Millis = 10_000;

/** Dependencies of {@link FallbackPlacer}. */
export interface FallbackPlacerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: UpstreamDirectory;
  /** Gets how many hosts share the engines. */
  readonly hostCount: () => number;
  /** Incarnation of this host; keeps reservation ids unique across its restarts. */
  readonly incarnation: string;
  readonly metrics?: Metrics;
}

interface ActiveFallback {
  readonly coordinator: PoolCoordinator;
  lastUsed: Millis;
}

/**
 * Places requests locally while their pool has no reachable coordinator.
 *
 * Bridges the seconds after a coordinator has crashed or stopped answering, in which every lookup would
 * otherwise miss its target. Each host may use an equal share of the memory that the engines report as
 * free, so that the hosts together do not overcommit it. As load reports lag, the share is smaller than
 * what a coordinator could assign; summaries therefore wait for a coordinator.
 */
export class FallbackPlacer {
  private readonly options: FallbackPlacerOptions;

  private readonly active = new Map<ModelId, Promise<ActiveFallback | undefined>>();

  private createdCount = 0;

  private placedCount = 0;

  /** @param options - Dependencies. */
  constructor(options: FallbackPlacerOptions) {
    this.options = options;
  }

  /**
   * Requests engines within this host's share.
   *
   * @param model - The pool's model.
   * @param item - The request.
   * @returns A placement, a refusal, or that the request still waits; undefined for an unknown model.
   */
  async reserve(model: ModelId, item: WorkItem): Promise<PeerResponse | undefined> {
    const fallback = await this.fallbackFor(model);
    if (fallback === undefined) return undefined;
    fallback.lastUsed = this.options.clock.now();
    const res = await fallback.coordinator.reserve(item);
    if (res.type === 'placed') this.placedCount += 1;
    return res;
  }

  /** Removes a request from the queue, if it is queued here. */
  withdraw(model: ModelId, request: string): void {
    runInBackground('coordinator.fallback', () =>
      this.withActive(model, (coordinator) => coordinator.withdraw(request)),
    );
  }

  /** Renews the reservations made here; others are ignored. */
  renew(model: ModelId, held: readonly AdoptedReservation[]): void {
    runInBackground('coordinator.fallback', () =>
      this.withActive(model, (coordinator) => coordinator.renew(held)),
    );
  }

  /** Frees the prefill engine of a reservation, if it was made here. */
  prefillEnded(model: ModelId, reservation: string): void {
    runInBackground('coordinator.fallback', () =>
      this.withActive(model, (coordinator) => coordinator.prefillEnded(reservation)),
    );
  }

  /** Ends a reservation, if it was made here. */
  release(model: ModelId, reservation: string, end: ReservationEnd): void {
    runInBackground('coordinator.fallback', () =>
      this.withActive(model, (coordinator) => coordinator.release(reservation, end)),
    );
  }

  /** Gets the state shown to operators. */
  dump(): object {
    return { pools: [...this.active.keys()], placed: this.placedCount };
  }

  /** Closes the fallbacks of all pools. */
  stop(): void {
    [...this.active.keys()].forEach((model) => {
      runInBackground('coordinator.fallback', () =>
        this.withActive(model, (coordinator) => coordinator.stop()),
      );
    });
    this.active.clear();
  }

  private async withActive(
    model: ModelId,
    run: (coordinator: PoolCoordinator) => void,
  ): Promise<void> {
    const fallback = await this.active.get(model);
    if (fallback !== undefined) run(fallback.coordinator);
  }

  private fallbackFor(model: ModelId): Promise<ActiveFallback | undefined> {
    const known = this.active.get(model);
    if (known !== undefined) return known;
    const fallback = this.create(model);
    this.active.set(model, fallback);
    return fallback;
  }

  private async create(model: ModelId): Promise<ActiveFallback | undefined> {
    const pool = this.options.directory.getPool(model);
    if (pool === undefined) {
      this.active.delete(model);
      return undefined;
    }
    const engines = await Promise.all(pool.engines.map((engine) => this.limitToShare(engine)));
    this.createdCount += 1;
    const coordinator = new PoolCoordinator({
      model,
      pool: { ...pool, engines: engines.flat() } satisfies PoolConfig,
      clock: this.options.clock,
      random: this.options.random,
      directory: this.options.directory,
      reservationPrefix: `${this.options.incarnation}.f${this.createdCount}`,
      mayAct: () => true,
      metrics: this.options.metrics,
      rebuildMs: 0,
    });
    const fallback = { coordinator, lastUsed: this.options.clock.now() };
    this.closeWhenIdle(model, fallback);
    return fallback;
  }

  /**
   * Limits an engine's memory to what is in use plus this host's share of the rest. An engine that does
   * not answer is left out, since its free memory is unknown.
   */
  private async limitToShare(engine: EngineConfig): Promise<readonly EngineConfig[]> {
    const load = await this.options.directory.getEngine(engine.id)?.engine.load();
    if (load === undefined || load.isErr()) return [];
    const { usedPieces } = load.value;
    const free = Math.max(0, engine.memoryPieces - usedPieces);
    const share = Math.floor(free / Math.max(1, this.options.hostCount()));
    return [{ ...engine, memoryPieces: usedPieces + share }];
  }

  private closeWhenIdle(model: ModelId, fallback: ActiveFallback): void {
    const idleMs = this.options.clock.now() - fallback.lastUsed;
    if (idleMs >= IDLE_TIMEOUT_MS && fallback.coordinator.isIdle()) {
      fallback.coordinator.stop();
      this.active.delete(model);
      return;
    }
    this.options.clock.after(IDLE_TIMEOUT_MS, () => this.closeWhenIdle(model, fallback));
  }
}
