import type { EngineConfig, EngineRole } from '@camphorvane/core';
import { VirtualClock } from '@camphorvane/core';
import { EngineKnowledge } from '@camphorvane/decisions';
import type { LeaseState } from '@camphorvane/store';
import type { EngineOrder, UpstreamError } from '@camphorvane/upstream';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Metrics } from '../../src/observe/Metrics.ts';
import { RoleControl } from '../../src/placing/RoleControl.ts';

const MODEL = 'm';

/** Simulated behavior of the store, the engines and the other hosts. */
export interface RoleFleetBehavior {
  readonly lease: LeaseState;
  /** Responses to orders, in sequence; the last one repeats. */
  readonly answers: readonly Result<void, UpstreamError>[];
  /** Number of orders that engines report to have accepted, or why they do not answer. */
  readonly report: Result<number, UpstreamError>;
  /** Number of hosts that precede this one; undefined while it must not decide. */
  readonly rank: number | undefined;
}

/** An order that an engine received. */
export interface ReceivedOrder {
  readonly engine: string;
  readonly order: EngineOrder;
}

/** Role control of three prefill and three decode engines, under demand that fills decode memory. */
export class RoleFleet {
  readonly clock = new VirtualClock();

  readonly knowledge = new EngineKnowledge();

  readonly orders: ReceivedOrder[] = [];

  announced = 0;

  private behavior: RoleFleetBehavior = {
    lease: { type: 'held', fence: 41 },
    answers: [ok(undefined)],
    report: ok(3),
    rank: 0,
  };

  private readonly roles = new Map<string, EngineRole>(
    ['p1', 'p2', 'p3', 'd1', 'd2', 'd3'].map((id) => [id, id[0] === 'p' ? 'prefill' : 'decode']),
  );

  private readonly stopped = new AbortController();

  constructor() {
    const { clock, knowledge } = this;
    [...this.roles.keys()].forEach((id) => {
      knowledge.health.recordPrefill(id, 3_000, 100);
      knowledge.health.recordTokenInterval(id, 4);
    });
    const control = new RoleControl({
      clock,
      knowledge,
      directory: {
        getModels: () => [MODEL],
        getPool: () => ({
          ...{ model: MODEL, engines: this.engines(), maxTokens: 40_000 },
          ...{ ttftTargetMs: 900, itlTargetMs: 50, linkPiecesPerSecond: 100 },
        }),
        getEngine: (id) => ({ cfg: this.cfgOf(id), engine: this.engineOf(id) as never }),
      },
      lease: {
        acquireOrRenew: async () => this.behavior.lease,
        getFencingToken: () => {
          const { lease } = this.behavior;
          return lease.type === 'held' ? lease.fence : undefined;
        },
      },
      holder: 'h1',
      rank: () => this.behavior.rank,
      announce: () => {
        this.announced += 1;
      },
      metrics: new Metrics(),
    });
    void control.run(this.stopped.signal);
  }

  /** Changes parts of the simulated behavior. */
  configure(change: Partial<RoleFleetBehavior>): void {
    this.behavior = { ...this.behavior, ...change };
  }

  /** Stops the role control. */
  stop(): void {
    this.stopped.abort();
  }

  /** Advances the clock with one request every 100 ms. */
  async advanceUnderLoad(forMs: number): Promise<void> {
    const steps = Array.from({ length: forMs / 100 }, (_, i) => i);
    await steps.reduce(async (previous, i) => {
      await previous;
      this.knowledge.demand.recordRequest(MODEL, this.item(i), this.clock.now());
      await this.clock.advance(100);
    }, Promise.resolve());
  }

  /** Lists an engine with another role, as after a completed change. */
  setRole(id: string, role: EngineRole): void {
    this.roles.set(id, role);
  }

  private item(i: number) {
    return {
      ...{ request: `r${i}`, holder: 'h1', team: 't', weight: 1, class: 'lookup' as const },
      ...{ promptTokens: 3_000, maxOutputTokens: 900, expectedOutputTokens: 800, prefixes: [] },
      ...{ maxWaitMs: 2_500, onTimeMs: 540, avoid: [] },
    };
  }

  private engines(): readonly EngineConfig[] {
    return [...this.roles.keys()].map((id) => this.cfgOf(id));
  }

  private cfgOf(id: string): EngineConfig {
    return {
      ...{ id, url: `http://${id}`, zone: 'a', memoryPieces: 40, checksFencing: false },
      ...{ role: this.roles.get(id) ?? 'decode', roleSwitchMs: 6_000 },
    };
  }

  private engineOf(engine: string) {
    return {
      load: async () => this.behavior.report.map((ordersTaken) => ({ ordersTaken })),
      order: async (order: EngineOrder) => {
        this.orders.push({ engine, order });
        const [answer = ok(undefined), ...rest] = this.behavior.answers;
        if (rest.length > 0) this.configure({ answers: rest });
        return answer;
      },
    };
  }
}
