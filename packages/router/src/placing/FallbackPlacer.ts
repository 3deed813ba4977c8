import type {
  Clock,
  EngineConfig,
  Millis,
  ModelId,
  PoolConfig,
  RandomSource,
} from '@camphorvane/core';
import type { AdoptedReservation, ReservationEnd, WorkItem } from '@camphorvane/decisions';
import type { PeerResponse } from '@camphorvane/peer';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { PoolSteward } from './PoolSteward.ts';

/** Milliseconds without a request after which the fallback of a pool is closed. */
const IDLE_LIFE_MS: Millis = 10_000;

/** What a fallback placer is made of. */
export interface FallbackPlacerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: UpstreamDirectory;
  /** Gets how many hosts share the engines. */
  readonly hostCount: () => number;
  /** Names this start of this host. */
  readonly incarnation: string;
}

interface OpenFallback {
  readonly steward: PoolSteward;
  lastUsed: Millis;
}

/**
 * Places requests on this host alone while no host coordinates their pool.
 *
 * It is made for the seconds after the coordinating host of a pool has died or fallen silent, in
 * which every lookup would otherwise miss its target. Each host then takes an equal part of what
 * the engines report as free, so that all hosts together do not overfill them; a report lags, so
 * the part is smaller than what a coordinator could give away, and summaries wait for one instead.
 */
export class FallbackPlacer {
  private readonly options: FallbackPlacerOptions;

  private readonly open = new Map<ModelId, Promise<OpenFallback | undefined>>();

  private opened = 0;

  private placed = 0;

  /** @param options - What the placer is made of. */
  constructor(options: FallbackPlacerOptions) {
    this.options = options;
  }

  /**
   * Asks for a place out of this host's part.
   *
   * @param model - The pool's model.
   * @param item - The request.
   * @returns A place, a refusal, or that it still waits; undefined for an unknown model.
   */
  async reserve(model: ModelId, item: WorkItem): Promise<PeerResponse | undefined> {
    const fallback = await this.fallbackFor(model);
    if (fallback === undefined) return undefined;
    fallback.lastUsed = this.options.clock.now();
    const res = await fallback.steward.reserve(item);
    if (res.type === 'placed') this.placed += 1;
    return res;
  }

  /** Takes a request out of the queue, if it is there. */
  withdraw(model: ModelId, request: string): void {
    void this.whenOpen(model, (steward) => steward.withdraw(request));
  }

  /** Extends what was placed here; reservations of others are ignored. */
  renew(model: ModelId, held: readonly AdoptedReservation[]): void {
    void this.whenOpen(model, (steward) => steward.renew(held));
  }

  /** Marks that the prefill of a reservation is over. */
  prefillEnded(model: ModelId, reservation: string): void {
    void this.whenOpen(model, (steward) => steward.prefillEnded(reservation));
  }

  /** Ends a reservation, if it was placed here. */
  release(model: ModelId, reservation: string, end: ReservationEnd): void {
    void this.whenOpen(model, (steward) => steward.release(reservation, end));
  }

  /** Gets the state to be shown to operators. */
  dump(): object {
    return { pools: [...this.open.keys()], placed: this.placed };
  }

  /** Ends all placing. */
  stop(): void {
    [...this.open.keys()].forEach((model) => {
      void this.whenOpen(model, (steward) => steward.stop());
    });
    this.open.clear();
  }

  private async whenOpen(model: ModelId, run: (steward: PoolSteward) => void): Promise<void> {
    const fallback = await this.open.get(model);
    if (fallback !== undefined) run(fallback.steward);
  }

  private fallbackFor(model: ModelId): Promise<OpenFallback | undefined> {
    const known = this.open.get(model);
    if (known !== undefined) return known;
    const made = this.make(model);
    this.open.set(model, made);
    return made;
  }

  private async make(model: ModelId): Promise<OpenFallback | undefined> {
    const pool = this.options.directory.getPool(model);
    if (pool === undefined) {
      this.open.delete(model);
      return undefined;
    }
    const engines = await Promise.all(pool.engines.map((engine) => this.partOf(engine)));
    this.opened += 1;
    const steward = new PoolSteward({
      model,
      pool: { ...pool, engines: engines.flat() } satisfies PoolConfig,
      clock: this.options.clock,
      random: this.options.random,
      directory: this.options.directory,
      prefix: `${this.options.incarnation}.f${this.opened}`,
      mayAct: () => true,
      listenMs: 0,
    });
    const fallback = { steward, lastUsed: this.options.clock.now() };
    this.closeWhenIdle(model, fallback);
    return fallback;
  }

  /** An engine that does not answer is left out: nothing is known of what it has free. */
  private async partOf(engine: EngineConfig): Promise<readonly EngineConfig[]> {
    const load = await this.options.directory.getEngine(engine.id)?.engine.load();
    if (load === undefined || load.isErr()) return [];
    const { usedPieces } = load.value;
    const free = Math.max(0, engine.memoryPieces - usedPieces);
    const part = Math.floor(free / Math.max(1, this.options.hostCount()));
    return [{ ...engine, memoryPieces: usedPieces + part }];
  }

  private closeWhenIdle(model: ModelId, fallback: OpenFallback): void {
    const idleFor = this.options.clock.now() - fallback.lastUsed;
    if (idleFor >= IDLE_LIFE_MS && fallback.steward.isIdle()) {
      fallback.steward.stop();
      this.open.delete(model);
      return;
    }
    this.options.clock.after(IDLE_LIFE_MS, () => this.closeWhenIdle(model, fallback));
  }
}
