import type { Millis, Tokens } from '@camphorvane/core';
import type { PoolDemand } from './DemandHistory.ts';
import { DEMAND_BUCKET_MS, NO_DEMAND, scaleDemand, sumDemand } from './DemandHistory.ts';

/** Combined capacity of the engines of both roles. */
export interface PoolCapacity {
  /** Prompt tokens prefilled per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Memory of all decode engines for running requests. */
  readonly memoryTokens: Tokens;
  /** Time per output token. */
  readonly tokenIntervalMs: Millis;
}

/** Options of {@link forecastLateShare}. */
export interface ForecastOptions {
  /** Time for which a request may wait and still be on time. */
  readonly onTimeMs: Millis;
  /** Factor by which the recorded demand is multiplied. */
  readonly factor: number;
}

/**
 * Minimum length of the replay; a shorter history is repeated. Memory fills up over the run time of
 * a request, so a short history replayed once on empty engines would show no late requests.
 */
const MIN_REPLAY_MS: Millis = 20_000;

interface ReplayState {
  readonly waiting: PoolDemand;
  readonly running: PoolDemand;
  /** Number of requests that were late so far. */
  readonly late: number;
}

/**
 * Forecasts the share of late requests by replaying recorded demand against a given capacity.
 *
 * A fluid approximation: a request starts once it gets both prefill and decode memory, prompts are
 * prefilled at a fixed rate, and memory is freed as fast as the running requests end. Demand that
 * would wait for longer than allowed is late and leaves the queue, since late requests yield to the
 * others and take no capacity from them at either stage.
 *
 * @param buckets - Demand in buckets of {@link DEMAND_BUCKET_MS}.
 * @param capacity - Capacity of the engines.
 * @param opts - Allowed wait and demand factor.
 * @returns Share of late requests, from 0 to 1.
 */
export function forecastLateShare(
  buckets: readonly PoolDemand[],
  capacity: PoolCapacity,
  opts: ForecastOptions,
): number {
  const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
  if (requests === 0) return 0;
  const repeats = Math.ceil(MIN_REPLAY_MS / (buckets.length * DEMAND_BUCKET_MS));
  const replayed = Array.from({ length: repeats }, () => buckets).flat();
  const start: ReplayState = { waiting: NO_DEMAND, running: NO_DEMAND, late: 0 };
  const end = replayed.reduce((state, bucket) => advance(state, bucket, capacity, opts), start);
  return Math.min(1, end.late / (requests * repeats * opts.factor));
}

function advance(
  { waiting, running, late }: ReplayState,
  bucket: PoolDemand,
  { prefillTokensPerMs, memoryTokens, tokenIntervalMs }: PoolCapacity,
  { onTimeMs, factor }: ForecastOptions,
): ReplayState {
  const queued = sumDemand(waiting, scaleDemand(bucket, factor));
  const endedShare = Math.min(1, DEMAND_BUCKET_MS / meanHoldMs(running, tokenIntervalMs));
  const continuing = scaleDemand(running, 1 - endedShare);
  const free = Math.max(0, memoryTokens - continuing.memoryTokens);
  const startedShare = Math.min(
    servableShare(free, queued.memoryTokens),
    servableShare(prefillTokensPerMs * DEMAND_BUCKET_MS, queued.promptTokens),
  );
  const nowRunning = sumDemand(continuing, scaleDemand(queued, startedShare));
  // Once all memory is in use, it is freed at the rate at which requests end.
  const freedInTime = (memoryTokens / meanHoldMs(nowRunning, tokenIntervalMs)) * onTimeMs;
  const inTimeShare = Math.min(
    servableShare(freedInTime, queued.memoryTokens),
    servableShare(prefillTokensPerMs * onTimeMs, queued.promptTokens),
  );
  const lateShare = Math.max(0, 1 - startedShare - inTimeShare);
  return {
    waiting: scaleDemand(queued, 1 - startedShare - lateShare),
    running: nowRunning,
    late: late + queued.requests * lateShare,
  };
}

/** Gets for how long requests hold their memory, as a mean weighted by memory. */
function meanHoldMs({ memoryTokens, memorySteps }: PoolDemand, tokenMs: Millis): Millis {
  return memoryTokens > 0 ? Math.max(1, (memorySteps / memoryTokens) * tokenMs) : 1;
}

/** Gets the share of a demand that a supply covers. */
function servableShare(supply: Tokens, demand: Tokens): number {
  return demand > 0 ? Math.min(1, supply / demand) : 1;
}
