import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type WorkClass } from '@camphorvane/core';
import type { FairPoolScheduler, PoolShape, SchedulerDecision } from '@camphorvane/decisions';
import fc from 'fast-check';
import { engine, pool, scheduler, work } from './support/pool.ts';

type Place = Extract<SchedulerDecision, { type: 'place' }>;

type Action =
  | {
      readonly type: 'submit';
      readonly kind: WorkClass;
      readonly team: number;
      readonly tokens: number;
    }
  | {
      readonly type: 'again' | 'withdraw' | 'prefillEnded' | 'release' | 'renew';
      readonly pick: number;
    }
  | { readonly type: 'adopt'; readonly pick: number }
  | { readonly type: 'wait'; readonly ms: number }
  | { readonly type: 'engine'; readonly pick: number; readonly seen: 'down' | 'slow' | 'recovered' }
  | { readonly type: 'load'; readonly pick: number; readonly used: number }
  | { readonly type: 'interval'; readonly pick: number; readonly ms: number }
  | { readonly type: 'reshape'; readonly decodes: number };

const RUNS = { numRuns: 300, seed: 20_261_202 };

const MEMORY = 12;

const pick = fc.nat(30);

const anyAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      kind: fc.constantFrom<WorkClass>('lookup', 'certificate', 'summary'),
      team: fc.nat(3),
      tokens: fc.integer({ min: 1, max: 14_000 }),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constantFrom(
        ...(['again', 'withdraw', 'prefillEnded', 'release', 'release', 'renew'] as const),
      ),
      pick,
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('adopt' as const), pick }) },
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
      pick,
      seen: fc.constantFrom('down' as const, 'slow' as const, 'recovered' as const),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('load' as const), pick, used: fc.nat(MEMORY) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('interval' as const),
      pick,
      ms: fc.integer({ min: 1, max: 90 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('reshape' as const), decodes: fc.nat(3) }),
  },
);

/** Drives a scheduler, and keeps a plain account of its own beside it. */
class Driver {
  now = 0;

  private shape: PoolShape = pool(2, 2, MEMORY);

  private readonly pools: FairPoolScheduler = scheduler(this.shape);

  private readonly submitted: string[] = [];

  private readonly withdrawn = new Set<string>();

  readonly decided = new Map<string, 'place' | 'refuse'>();

  private readonly held = new Map<
    string,
    { readonly decode: string; readonly pieces: number; readonly adopted: boolean }
  >();

  private readonly places: Place[] = [];

  act(action: Action): void {
    this.apply(action);
    this.step();
    this.checkCapacity();
  }

  /** Lets everything run out: no more messages come from any holder. */
  finish(): void {
    let wake = this.pools.nextWake(this.now);
    while (wake !== undefined) {
      this.now = Math.max(this.now, wake);
      this.step();
      this.places.forEach((place) => this.release(place.reservation));
      wake = this.pools.nextWake(this.now);
    }
  }

  checkEnd(): void {
    assert.equal(this.pools.reservationCount, 0, 'reservations leaked');
    assert.equal(this.pools.waitingCount, 0, 'requests still wait');
    const open = this.submitted.filter((id) => !this.decided.has(id) && !this.withdrawn.has(id));
    assert.deepEqual(open, [], 'requests without a decision');
  }

  private apply(action: Action): void {
    const { pools, now } = this;
    const engineId = (at: number): string => ['p0', 'p1', 'd0', 'd1', 'd2'][at % 5] ?? 'p0';
    switch (action.type) {
      case 'submit': {
        const id = `q${this.submitted.length}`;
        this.submitted.push(id);
        pools.submit(
          work(id, {
            class: action.kind,
            team: `t${action.team}`,
            promptTokens: action.tokens,
            maxWaitMs: 4_000,
          }),
          now,
        );
        break;
      }
      case 'again': {
        const id = this.pickSubmitted(action.pick);
        if (id !== undefined && !this.decided.has(id) && !this.withdrawn.has(id)) {
          pools.submit(work(id), now);
        }
        break;
      }
      case 'withdraw': {
        const id = this.pickSubmitted(action.pick);
        if (id === undefined) break;
        if (!this.decided.has(id)) this.withdrawn.add(id);
        pools.withdraw(id, now);
        break;
      }
      case 'prefillEnded':
        pools.prefillEnded(this.pickReservation(action.pick), now);
        break;
      case 'release':
        this.release(this.pickReservation(action.pick));
        break;
      case 'renew':
        pools.renew(this.pickReservation(action.pick), now);
        break;
      case 'adopt':
        this.adopt(`old${action.pick}`);
        break;
      case 'wait':
        this.wait(now + action.ms);
        break;
      case 'engine':
        if (action.seen === 'recovered') {
          pools.observe({ type: 'recovered', engine: engineId(action.pick) }, now);
        } else {
          pools.observe(
            { type: 'failed', engine: engineId(action.pick), reason: action.seen },
            now,
          );
        }
        break;
      case 'load':
        pools.observe(
          {
            type: 'load',
            engine: engineId(action.pick),
            load: {
              role: 'decode',
              usedPieces: action.used,
              memoryPieces: MEMORY,
              running: 1,
              waiting: 0,
              attempts: [],
            },
          },
          now,
        );
        break;
      case 'interval':
        pools.observe(
          { type: 'token_interval', engine: engineId(action.pick), meanMs: action.ms, streams: 3 },
          now,
        );
        break;
      case 'reshape': {
        const decodes = [...Array(action.decodes).keys()].map((n) =>
          engine(`d${n}`, 'decode', MEMORY),
        );
        const engines = [engine('p0', 'prefill'), engine('p1', 'prefill'), ...decodes];
        this.shape = { ...this.shape, engines };
        pools.reshape(this.shape, now);
        break;
      }
      default:
        action satisfies never;
    }
  }

  /** Moves time on without passing over a moment at which the scheduler has something to do. */
  private wait(until: number): void {
    let wake = this.pools.nextWake(this.now);
    while (wake !== undefined && wake <= until) {
      this.now = wake;
      this.step();
      wake = this.pools.nextWake(this.now);
    }
    this.now = until;
  }

  private adopt(reservation: string): void {
    if (this.held.has(reservation)) return;
    this.held.set(reservation, { decode: 'd0', pieces: 2, adopted: true });
    this.pools.adopt(
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
    this.held.delete(reservation);
    this.pools.release(reservation, 'done', this.now);
  }

  private step(): void {
    this.pools.step(this.now).forEach((decision) => {
      if (decision.type === 'reclaim') {
        this.held.delete(decision.reservation);
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
        this.shape.engines.some((one) => one.id === decision.decode && one.role === 'decode'),
      );
      this.held.set(decision.reservation, { ...decision, adopted: false });
      this.places.push(decision);
    });
  }

  /** Counts what this driver was given, not what the ledger says of itself. */
  private checkCapacity(): void {
    ['d0', 'd1', 'd2'].forEach((id) => {
      const here = [...this.held.values()].filter((hold) => hold.decode === id);
      const placed = here.filter((hold) => !hold.adopted);
      const sum = placed.reduce((total, hold) => total + hold.pieces, 0);
      assert.ok(sum <= MEMORY, `${id} holds ${sum} of ${MEMORY} pieces`);
    });
  }

  private pickSubmitted(at: number): string | undefined {
    return this.submitted[at % Math.max(1, this.submitted.length)];
  }

  private pickReservation(at: number): string {
    return this.places[at % Math.max(1, this.places.length)]?.reservation ?? 'unknown';
  }
}

test('keeps its promises after any order of events', () => {
  // Hosts die, messages repeat, engines fail and come back, the pool changes. Callers would notice
  // a broken promise as two answers, none, or engines that are full for good.
  fc.assert(
    fc.property(fc.array(anyAction, { maxLength: 120 }), (actions) => {
      const driver = new Driver();
      actions.forEach((action) => driver.act(action));
      driver.finish();
      driver.checkEnd();
    }),
    RUNS,
  );
});

test('serves teams in proportion to their weights, whatever one of them sends', () => {
  // One large team floods the queue. The small team's callers should get their share of the engines
  // from the first moment, and not wait until the flood has passed.
  const weights = fc.record({
    small: fc.integer({ min: 1, max: 4 }),
    flood: fc.integer({ min: 50, max: 300 }),
  });
  fc.assert(
    fc.property(weights, ({ small, flood }) => {
      const pools = scheduler(pool(1, 1, 1));
      [...Array(flood).keys()].forEach((n) => pools.submit(work(`f${n}`, { team: 'flood' }), 0));
      [...Array(40).keys()].forEach((n) =>
        pools.submit(work(`s${n}`, { team: 'small', weight: small }), 0),
      );
      const served = [...Array(40).keys()].map((turn) => {
        const [placed] = pools.step(turn);
        assert.ok(placed?.type === 'place');
        pools.release(placed.reservation, 'done', turn);
        return placed.request;
      });
      const ofSmall = served.filter((id) => id.startsWith('s')).length;
      const fair = (40 * small) / (small + 1);
      assert.ok(Math.abs(ofSmall - fair) <= 1, `${ofSmall} served, ${fair} would be fair`);
    }),
    RUNS,
  );
});

test('lets a lookup pass the summaries that wait, and summaries pass a flood of lookups in turn', () => {
  const pools = scheduler(pool(1, 1, 1));
  const serve = (turn: number): string => {
    const [placed] = pools.step(turn);
    assert.ok(placed?.type === 'place');
    pools.release(placed.reservation, 'done', turn);
    return placed.request;
  };
  [...Array(20).keys()].forEach((n) => pools.submit(work(`s${n}`), 0));
  assert.equal(serve(0), 's0');
  [...Array(40).keys()].forEach((n) => pools.submit(work(`l${n}`, { class: 'lookup' }), 1));
  const served = [...Array(40).keys()].map(() => serve(1));
  assert.equal(served[0], 'l0');
  const summaries = served.filter((id) => id.startsWith('s')).length;
  assert.ok(summaries >= 3 && summaries <= 5, `${summaries} summaries among 40`);
});
