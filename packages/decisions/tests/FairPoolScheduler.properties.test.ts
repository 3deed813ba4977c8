import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type WorkClass } from '@camphorvane/core';
import type {
  FairPoolScheduler,
  PoolSchedulerConfig,
  SchedulerDecision,
} from '@camphorvane/decisions';
import fc from 'fast-check';
import { engine, pool, scheduler, work } from './support/pool.ts';

type Place = Extract<SchedulerDecision, { type: 'place' }>;

type Action =
  | {
      readonly type: 'submit';
      readonly workClass: WorkClass;
      readonly team: number;
      readonly tokens: number;
    }
  | {
      readonly type: 'resubmit' | 'withdraw' | 'prefillEnded' | 'release' | 'renew';
      readonly index: number;
    }
  | { readonly type: 'adopt'; readonly index: number }
  | { readonly type: 'wait'; readonly ms: number }
  | {
      readonly type: 'engine';
      readonly index: number;
      readonly observed: 'down' | 'slow' | 'recovered';
    }
  | { readonly type: 'load'; readonly index: number; readonly used: number }
  | { readonly type: 'token_interval'; readonly index: number; readonly meanMs: number }
  | { readonly type: 'reconfigure'; readonly decodeEngines: number };

const FAST_CHECK_OPTIONS = { numRuns: 300, seed: 20_261_202 };

const MEMORY_PIECES = 12;

const index = fc.nat(30);

const anyAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      workClass: fc.constantFrom<WorkClass>('lookup', 'certificate', 'summary'),
      team: fc.nat(3),
      tokens: fc.integer({ min: 1, max: 14_000 }),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constantFrom(
        ...(['resubmit', 'withdraw', 'prefillEnded', 'release', 'release', 'renew'] as const),
      ),
      index,
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('adopt' as const), index }) },
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      ms: fc.oneof(fc.nat(50), fc.nat(2_000)),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('engine' as const),
      index,
      observed: fc.constantFrom('down' as const, 'slow' as const, 'recovered' as const),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('load' as const),
      index,
      used: fc.nat(MEMORY_PIECES),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('token_interval' as const),
      index,
      meanMs: fc.integer({ min: 1, max: 90 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('reconfigure' as const), decodeEngines: fc.nat(3) }),
  },
);

/** Drives a scheduler and checks its decisions against a simple model. */
class Driver {
  now = 0;

  private config: PoolSchedulerConfig = pool(2, 2, MEMORY_PIECES);

  private readonly poolScheduler: FairPoolScheduler = scheduler(this.config);

  private readonly submitted: string[] = [];

  private readonly withdrawn = new Set<string>();

  readonly decided = new Map<string, 'place' | 'refuse'>();

  private readonly reservations = new Map<
    string,
    { readonly decode: string; readonly pieces: number; readonly adopted: boolean }
  >();

  private readonly placements: Place[] = [];

  act(action: Action): void {
    this.apply(action);
    this.step();
    this.checkCapacity();
  }

  /** Advances without further messages from holders until nothing is left to do. */
  finish(): void {
    let wake = this.poolScheduler.nextWake(this.now);
    while (wake !== undefined) {
      this.now = Math.max(this.now, wake);
      this.step();
      this.placements.forEach((placement) => this.release(placement.reservation));
      wake = this.poolScheduler.nextWake(this.now);
    }
  }

  checkEnd(): void {
    assert.equal(this.poolScheduler.reservationCount, 0, 'reservations leaked');
    assert.equal(this.poolScheduler.queuedCount, 0, 'requests are still queued');
    const undecided = this.submitted.filter(
      (id) => !this.decided.has(id) && !this.withdrawn.has(id),
    );
    assert.deepEqual(undecided, [], 'requests have no decision');
  }

  private apply(action: Action): void {
    const { poolScheduler, now } = this;
    const engineId = (n: number): string => ['p0', 'p1', 'd0', 'd1', 'd2'][n % 5] ?? 'p0';
    switch (action.type) {
      case 'submit': {
        const id = `q${this.submitted.length}`;
        this.submitted.push(id);
        poolScheduler.submit(
          work(id, {
            class: action.workClass,
            team: `t${action.team}`,
            promptTokens: action.tokens,
            maxWaitMs: 4_000,
          }),
          now,
        );
        break;
      }
      case 'resubmit': {
        const id = this.pickSubmitted(action.index);
        if (id !== undefined && !this.decided.has(id) && !this.withdrawn.has(id)) {
          poolScheduler.submit(work(id), now);
        }
        break;
      }
      case 'withdraw': {
        const id = this.pickSubmitted(action.index);
        if (id === undefined) break;
        if (!this.decided.has(id)) this.withdrawn.add(id);
        poolScheduler.withdraw(id, now);
        break;
      }
      case 'prefillEnded':
        poolScheduler.prefillEnded(this.pickReservation(action.index), now);
        break;
      case 'release':
        this.release(this.pickReservation(action.index));
        break;
      case 'renew':
        poolScheduler.renew(this.pickReservation(action.index), now);
        break;
      case 'adopt':
        this.adopt(`old${action.index}`);
        break;
      case 'wait':
        this.wait(now + action.ms);
        break;
      case 'engine':
        if (action.observed === 'recovered') {
          poolScheduler.observe({ type: 'recovered', engine: engineId(action.index) }, now);
        } else {
          poolScheduler.observe(
            { type: 'failed', engine: engineId(action.index), reason: action.observed },
            now,
          );
        }
        break;
      case 'load':
        poolScheduler.observe(
          {
            type: 'load',
            engine: engineId(action.index),
            load: {
              role: 'decode',
              usedPieces: action.used,
              memoryPieces: MEMORY_PIECES,
              running: 1,
              waiting: 0,
              attempts: [],
            },
          },
          now,
        );
        break;
      case 'token_interval':
        poolScheduler.observe(
          {
            type: 'token_interval',
            engine: engineId(action.index),
            meanMs: action.meanMs,
            streams: 3,
          },
          now,
        );
        break;
      case 'reconfigure': {
        const decodeEngines = [...Array(action.decodeEngines).keys()].map((n) =>
          engine(`d${n}`, 'decode', MEMORY_PIECES),
        );
        const engines = [engine('p0', 'prefill'), engine('p1', 'prefill'), ...decodeEngines];
        this.config = { ...this.config, engines };
        poolScheduler.reconfigure(this.config, now);
        break;
      }
      default:
        action satisfies never;
    }
  }

  /** Advances the time, with a step at each time that the scheduler asks for. */
  private wait(until: number): void {
    let wake = this.poolScheduler.nextWake(this.now);
    while (wake !== undefined && wake <= until) {
      this.now = wake;
      this.step();
      wake = this.poolScheduler.nextWake(this.now);
    }
    this.now = until;
  }

  private adopt(reservation: string): void {
    if (this.reservations.has(reservation)) return;
    this.reservations.set(reservation, { decode: 'd0', pieces: 2, adopted: true });
    this.poolScheduler.adopt(
      {
        reservation,
        request: reservation,
        holder: 'h1',
        team: 't0',
        prefill: 'p0',
        decode: 'd0',
        pieces: 2,
        prefillRunning: true,
      },
      this.now,
    );
  }

  private release(reservation: string): void {
    this.reservations.delete(reservation);
    this.poolScheduler.release(reservation, 'done', this.now);
  }

  private step(): void {
    this.poolScheduler.step(this.now).forEach((decision) => {
      if (decision.type === 'reclaim') {
        this.reservations.delete(decision.reservation);
        return;
      }
      const before = this.decided.get(decision.request);
      assert.equal(before, undefined, `${decision.request} was decided twice`);
      assert.ok(!this.withdrawn.has(decision.request), 'decided after its caller had gone');
      this.decided.set(decision.request, decision.type);
      if (decision.type === 'refuse') {
        assert.equal(decision.refusal.execution, 'not_run');
        return;
      }
      assert.ok(
        this.config.engines.some((one) => one.id === decision.decode && one.role === 'decode'),
      );
      this.reservations.set(decision.reservation, { ...decision, adopted: false });
      this.placements.push(decision);
    });
  }

  /** Checks the memory by the decisions that the driver got, not by the scheduler's ledger. */
  private checkCapacity(): void {
    ['d0', 'd1', 'd2'].forEach((id) => {
      const onEngine = [...this.reservations.values()].filter((entry) => entry.decode === id);
      const placed = onEngine.filter((entry) => !entry.adopted);
      const sum = placed.reduce((total, entry) => total + entry.pieces, 0);
      assert.ok(sum <= MEMORY_PIECES, `${id} has ${sum} of ${MEMORY_PIECES} pieces`);
    });
  }

  private pickSubmitted(n: number): string | undefined {
    return this.submitted[n % Math.max(1, this.submitted.length)];
  }

  private pickReservation(n: number): string {
    return this.placements[n % Math.max(1, this.placements.length)]?.reservation ?? 'unknown';
  }
}

test('keeps its invariants under any sequence of events', () => {
  // Guards against requests with two decisions or none and against leaked memory, while hosts fail,
  // messages are repeated, engines fail and recover, and the pool is reconfigured.
  fc.assert(
    fc.property(fc.array(anyAction, { maxLength: 120 }), (actions) => {
      const driver = new Driver();
      actions.forEach((action) => driver.act(action));
      driver.finish();
      driver.checkEnd();
    }),
    FAST_CHECK_OPTIONS,
  );
});

test('serves teams in proportion to their weights, whatever one of them sends', () => {
  // One team floods the queue: another team's requests must get their share of the engines at once,
  // without waiting behind the flood.
  const scenarios = fc.record({
    smallWeight: fc.integer({ min: 1, max: 4 }),
    floodSize: fc.integer({ min: 50, max: 300 }),
  });
  fc.assert(
    fc.property(scenarios, ({ smallWeight, floodSize }) => {
      const poolScheduler = scheduler(pool(1, 1, 1));
      [...Array(floodSize).keys()].forEach((n) =>
        poolScheduler.submit(work(`f${n}`, { team: 'flood' }), 0),
      );
      [...Array(40).keys()].forEach((n) =>
        poolScheduler.submit(work(`s${n}`, { team: 'small', weight: smallWeight }), 0),
      );
      const served = [...Array(40).keys()].map((turn) => {
        const [placed] = poolScheduler.step(turn);
        assert.ok(placed?.type === 'place');
        poolScheduler.release(placed.reservation, 'done', turn);
        return placed.request;
      });
      const servedOfSmall = served.filter((id) => id.startsWith('s')).length;
      const fairShare = (40 * smallWeight) / (smallWeight + 1);
      assert.ok(
        Math.abs(servedOfSmall - fairShare) <= 1,
        `${servedOfSmall} served, fair share ${fairShare}`,
      );
    }),
    FAST_CHECK_OPTIONS,
  );
});

test('serves lookups before queued summaries, but does not starve summaries', () => {
  const poolScheduler = scheduler(pool(1, 1, 1));
  const serve = (turn: number): string => {
    const [placed] = poolScheduler.step(turn);
    assert.ok(placed?.type === 'place');
    poolScheduler.release(placed.reservation, 'done', turn);
    return placed.request;
  };
  [...Array(20).keys()].forEach((n) => poolScheduler.submit(work(`s${n}`), 0));
  assert.equal(serve(0), 's0');
  [...Array(40).keys()].forEach((n) => poolScheduler.submit(work(`l${n}`, { class: 'lookup' }), 1));
  const served = [...Array(40).keys()].map(() => serve(1));
  assert.equal(served[0], 'l0');
  const summaries = served.filter((id) => id.startsWith('s')).length;
  assert.ok(summaries >= 3 && summaries <= 5, `${summaries} summaries among 40`);
});
