import type { Clock, Millis, ModelId, RandomSource } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import type { PeerRequest, PeerResponse } from '@camphorvane/peer';
import type { GroupGate } from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { PoolCoordinator } from './PoolCoordinator.ts';

/** Milliseconds between two checks of which pools this host coordinates. */
const REFRESH_PERIOD_MS: Millis = 250;

/** Requests to the coordinator of a pool. */
export type PlacementRequest = Extract<
  PeerRequest,
  {
    readonly type: 'reserve' | 'withdraw' | 'renew' | 'prefill_ended' | 'release' | 'observe';
  }
>;

/**
 * Gets the key that determines which host coordinates a pool.
 *
 * @param model - The pool's model.
 * @returns The key.
 */
export function poolKey(model: ModelId): string {
  return `pool/${model}`;
}

/** Dependencies of {@link CoordinatorRegistry}. */
export interface CoordinatorRegistryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly group: GroupGate;
  readonly directory: UpstreamDirectory;
  /** Incarnation of this host; keeps reservation ids unique across its restarts. */
  readonly incarnation: string;
  readonly metrics?: Metrics;
}

/** Runs the coordinators of the pools assigned to this host and passes requests on to them. */
export class CoordinatorRegistry {
  private readonly options: CoordinatorRegistryOptions;

  private readonly coordinators = new Map<ModelId, PoolCoordinator>();

  private startedCount = 0;

  /** @param options - Dependencies. */
  constructor(options: CoordinatorRegistryOptions) {
    this.options = options;
  }

  /**
   * Passes a request on to the coordinator of its pool.
   *
   * @param req - The request.
   * @returns The response; `not_steward` where this host does not coordinate the pool.
   */
  async answer(req: PlacementRequest): Promise<PeerResponse> {
    const coordinator = this.coordinatorFor(req.model);
    if (coordinator === undefined) return { type: 'not_steward', epoch: 0 };
    switch (req.type) {
      case 'reserve':
        return coordinator.reserve(req.item);
      case 'withdraw':
        coordinator.withdraw(req.request);
        return { type: 'ok' };
      case 'renew':
        return { type: 'renewed', lost: coordinator.renew(req.held) };
      case 'prefill_ended':
        coordinator.prefillEnded(req.reservation);
        return { type: 'ok' };
      case 'release':
        coordinator.release(req.reservation, req.end);
        return { type: 'ok' };
      case 'observe':
        coordinator.observe(req.observations);
        return { type: 'ok' };
      default:
        return req satisfies never;
    }
  }

  /** Starts, updates and stops coordinators according to the current group and configuration. */
  refresh(): void {
    [...this.coordinators].forEach(([model, coordinator]) => {
      const pool = this.options.directory.getPool(model);
      if (pool !== undefined && this.mayCoordinate(model)) {
        coordinator.reconfigure(pool);
        return;
      }
      coordinator.stop();
      this.coordinators.delete(model);
    });
    // Started before the first request, so that no caller waits for the rebuild of a new coordinator.
    this.options.directory
      .getModels()
      .filter((model) => !this.coordinators.has(model) && this.mayCoordinate(model))
      .forEach((model) => this.start(model));
  }

  /** Refreshes until the signal is aborted, since the right to coordinate can also expire. */
  run(signal: AbortSignal): Promise<void> {
    return runLoop({ place: 'coordinators', clock: this.options.clock, signal }, async () => {
      this.refresh();
      await sleep(this.options.clock, REFRESH_PERIOD_MS, signal);
    });
  }

  /** Gets the models whose pools this host coordinates. */
  getModels(): readonly ModelId[] {
    return [...this.coordinators.keys()];
  }

  /** Gets the state shown to operators. */
  dump(): readonly object[] {
    return [...this.coordinators.values()].map((coordinator) => coordinator.dump());
  }

  /** Stops all coordinators. */
  stop(): void {
    this.coordinators.forEach((coordinator) => coordinator.stop());
    this.coordinators.clear();
  }

  private coordinatorFor(model: ModelId): PoolCoordinator | undefined {
    if (!this.mayCoordinate(model)) {
      this.coordinators.get(model)?.stop();
      this.coordinators.delete(model);
      return undefined;
    }
    return this.coordinators.get(model) ?? this.start(model);
  }

  private start(model: ModelId): PoolCoordinator | undefined {
    const pool = this.options.directory.getPool(model);
    if (pool === undefined) return undefined;
    this.startedCount += 1;
    const coordinator = new PoolCoordinator({
      model,
      pool,
      clock: this.options.clock,
      random: this.options.random,
      directory: this.options.directory,
      reservationPrefix: `${this.options.incarnation}.${this.startedCount}`,
      mayAct: () => this.mayCoordinate(model),
      metrics: this.options.metrics,
    });
    this.coordinators.set(model, coordinator);
    return coordinator;
  }

  private mayCoordinate(model: ModelId): boolean {
    return this.options.group.mayCoordinate(poolKey(model));
  }
}
