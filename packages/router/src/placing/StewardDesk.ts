import type { Clock, Millis, ModelId, RandomSource } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { PeerRequest, PeerResponse } from '@camphorvane/peer';
import type { GroupGate } from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { PoolSteward } from './PoolSteward.ts';

/** Milliseconds between two looks at which pools this host coordinates. */
const REFRESH_PERIOD_MS: Millis = 250;

/** Requests about places on a pool's engines. */
export type PlacingRequest = Extract<
  PeerRequest,
  {
    readonly type: 'reserve' | 'withdraw' | 'renew' | 'prefill_ended' | 'release' | 'observe';
  }
>;

/**
 * Gets the key by which a pool's steward is found.
 *
 * @param model - The pool's model.
 * @returns The key.
 */
export function poolKey(model: ModelId): string {
  return `pool/${model}`;
}

/** What a steward desk is made of. */
export interface StewardDeskOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly group: GroupGate;
  readonly directory: UpstreamDirectory;
  /** Names this start of this host, so that reservation ids never repeat. */
  readonly incarnation: string;
}

/** Answers placing requests for every pool that this host coordinates. */
export class StewardDesk {
  private readonly options: StewardDeskOptions;

  private readonly stewards = new Map<ModelId, PoolSteward>();

  private starts = 0;

  /** @param options - What the desk is made of. */
  constructor(options: StewardDeskOptions) {
    this.options = options;
  }

  /**
   * Answers a request about places.
   *
   * @param req - The request.
   * @returns The answer; `not_steward` where another host coordinates the pool.
   */
  async answer(req: PlacingRequest): Promise<PeerResponse> {
    const steward = this.stewardFor(req.model);
    if (steward === undefined) return { type: 'not_steward', epoch: 0 };
    switch (req.type) {
      case 'reserve':
        return steward.reserve(req.item);
      case 'withdraw':
        steward.withdraw(req.request);
        return { type: 'ok' };
      case 'renew':
        return { type: 'renewed', lost: steward.renew(req.held) };
      case 'prefill_ended':
        steward.prefillEnded(req.reservation);
        return { type: 'ok' };
      case 'release':
        steward.release(req.reservation, req.end);
        return { type: 'ok' };
      case 'observe':
        steward.observe(req.observations);
        return { type: 'ok' };
      default:
        return req satisfies never;
    }
  }

  /** Takes changed pools and changed stewards into force. */
  refresh(): void {
    [...this.stewards].forEach(([model, steward]) => {
      const pool = this.options.directory.getPool(model);
      if (pool !== undefined && this.maySteward(model)) {
        steward.reshape(pool);
        return;
      }
      steward.stop();
      this.stewards.delete(model);
    });
    // Opened before anybody asks, so that the time in which a new steward only listens is over by
    // then, and the first caller after a change does not pay for it.
    this.options.directory
      .getModels()
      .filter((model) => !this.stewards.has(model) && this.maySteward(model))
      .forEach((model) => this.open(model));
  }

  /** Refreshes until stopped, since the right to coordinate also changes with time alone. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.refresh();
      await sleep(this.options.clock, REFRESH_PERIOD_MS, signal);
    }
  }

  /** Gets the models whose pools are coordinated here. */
  getModels(): readonly ModelId[] {
    return [...this.stewards.keys()];
  }

  /** Gets the state to be shown to operators. */
  dump(): readonly object[] {
    return [...this.stewards.values()].map((steward) => steward.dump());
  }

  /** Ends all coordinating. */
  stop(): void {
    this.stewards.forEach((steward) => steward.stop());
    this.stewards.clear();
  }

  private stewardFor(model: ModelId): PoolSteward | undefined {
    if (!this.maySteward(model)) {
      this.stewards.get(model)?.stop();
      this.stewards.delete(model);
      return undefined;
    }
    return this.stewards.get(model) ?? this.open(model);
  }

  private open(model: ModelId): PoolSteward | undefined {
    const pool = this.options.directory.getPool(model);
    if (pool === undefined) return undefined;
    this.starts += 1;
    const steward = new PoolSteward({
      model,
      pool,
      clock: this.options.clock,
      random: this.options.random,
      directory: this.options.directory,
      prefix: `${this.options.incarnation}.${this.starts}`,
      mayAct: () => this.maySteward(model),
    });
    this.stewards.set(model, steward);
    return steward;
  }

  private maySteward(model: ModelId): boolean {
    return this.options.group.maySteward(poolKey(model));
  }
}
