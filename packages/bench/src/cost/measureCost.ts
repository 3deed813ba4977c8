import { type Clock, type EngineConfig, RandomSource } from '@camphorvane/core';
import {
  FairPoolScheduler,
  type PoolSchedulerConfig,
  type SchedulerDecision,
  type WorkItem,
} from '@camphorvane/decisions';

/** What deciding costs at one size. */
export interface CostSample {
  readonly engines: number;
  readonly teams: number;
  readonly queued: number;
  readonly decisionsPerSecond: number;
  readonly bytesPerQueued: number;
}

/** Gets the bytes in use on the heap after a collection. */
export type HeapMeter = () => number;

/** Waiting requests while the decisions are timed. */
const QUEUED = 20_000;

/** Longer than any run, so that nothing expires. */
const LONGEST_MS = 1e9;

const WARM_UP = 5_000;

const TIMED = 20_000;

const MS_PER_SECOND = 1000;

/** One decode engine in four engines is left to prefill. */
const PREFILL_EVERY = 4;

const MEMORY_PIECES = 40;

type Place = Extract<SchedulerDecision, { type: 'place' }>;

/**
 * Measures the scheduler with all engines full and a long queue: each decision frees one
 * reservation, places the next request and takes a new one into the queue.
 *
 * @param engines - Engines in the pool.
 * @param teams - Teams with waiting work.
 * @param clock - Real time.
 * @param heap - Reads the heap.
 */
export function measureCost(
  engines: number,
  teams: number,
  clock: Clock,
  heap: HeapMeter,
): CostSample {
  const limits = { perTeam: QUEUED * 2, total: QUEUED * 2 };
  const pools = new FairPoolScheduler(makePool(engines), {
    random: new RandomSource(1),
    queueLimits: limits,
    reservationTtlMs: LONGEST_MS,
  });
  const held: Place[] = [];
  const filling = engines * MEMORY_PIECES;
  fill(pools, held, teams, filling);
  const before = heap();
  [...Array(QUEUED).keys()].forEach((n) => pools.submit(makeWork(filling + n, teams), 0));
  const after = heap();
  turn(pools, held, teams, filling + QUEUED, WARM_UP);
  const start = clock.now();
  turn(pools, held, teams, filling + QUEUED + WARM_UP, TIMED);
  const tookMs = clock.now() - start;
  return {
    engines,
    teams,
    queued: pools.queuedCount,
    decisionsPerSecond: (TIMED * MS_PER_SECOND) / tookMs,
    bytesPerQueued: (after - before) / QUEUED,
  };
}

/** Places requests until the engines are full; the last one stays in the queue. */
function fill(pools: FairPoolScheduler, held: Place[], teams: number, most: number): void {
  const numbers = [...Array(most).keys()];
  numbers.every((n) => {
    pools.submit(makeWork(n, teams), 0);
    return collect(pools, held, 0) > 0;
  });
}

/** Frees one reservation and takes one request in, a millisecond apart, many times. */
function turn(
  pools: FairPoolScheduler,
  held: Place[],
  teams: number,
  first: number,
  count: number,
): void {
  [...Array(count).keys()].forEach((n) => {
    const now = first + n;
    const oldest = held[n];
    if (oldest !== undefined) pools.release(oldest.reservation, 'done', now);
    pools.submit(makeWork(first + n, teams), now);
    collect(pools, held, now);
  });
  held.splice(0, count);
}

function collect(pools: FairPoolScheduler, held: Place[], now: number): number {
  const decisions = pools.step(now);
  decisions.forEach((decision) => {
    if (decision.type !== 'place') throw new Error(`Unexpected decision ${decision.type}.`);
    pools.prefillEnded(decision.reservation, now);
    held.push(decision);
  });
  return decisions.length;
}

function makePool(count: number): PoolSchedulerConfig {
  const engines: readonly EngineConfig[] = [...Array(count).keys()].map((n) => ({
    id: `engine-${n}`,
    url: 'http://127.0.0.1:1',
    zone: 'a',
    role: n % PREFILL_EVERY === 0 ? 'prefill' : 'decode',
    memoryPieces: MEMORY_PIECES,
    checksFencing: true,
  }));
  return { engines, ttftTargetMs: 730, itlTargetMs: 35, linkPiecesPerSecond: 100_000 };
}

function makeWork(n: number, teams: number): WorkItem {
  return {
    request: `request-${n}`,
    holder: 'host-1',
    team: `team-${n % teams}`,
    weight: 1,
    class: 'summary',
    promptTokens: 1_500,
    maxOutputTokens: 500,
    prefixes: [],
    maxWaitMs: LONGEST_MS,
    avoid: [],
  };
}
