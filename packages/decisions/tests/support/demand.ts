import type { Millis } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import type { PoolDemand } from '@camphorvane/decisions';
import { DEMAND_BUCKET_MS, NO_DEMAND, sumDemand } from '@camphorvane/decisions';

/** Token counts of requests of one kind. */
export interface RequestShape {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Gets the memory that a request holds on average while it runs, in tokens. */
export function memoryOf({ promptTokens, outputTokens }: RequestShape): number {
  return promptTokens + outputTokens * 0.75;
}

/**
 * Makes buckets of demand in which requests arrive in groups of three at random times.
 *
 * @param shape - Token counts of each request.
 * @param perSecond - Gets the mean requests per second at a time.
 * @param forMs - Length of the demand.
 * @param seed - Seed of the arrival times.
 * @returns The buckets.
 */
export function makeDemandBuckets(
  shape: RequestShape,
  perSecond: (at: Millis) => number,
  forMs: Millis,
  seed = 1,
): readonly PoolDemand[] {
  const random = new RandomSource(seed * 7_919);
  const memoryTokens = memoryOf(shape);
  const one: PoolDemand = {
    requests: 1,
    promptTokens: shape.promptTokens,
    memoryTokens,
    memorySteps: memoryTokens * shape.outputTokens,
  };
  return Array.from({ length: Math.floor(forMs / DEMAND_BUCKET_MS) }, (_, i) => {
    const groups = (perSecond(i * DEMAND_BUCKET_MS) * DEMAND_BUCKET_MS) / 1_000 / 3;
    const draws = Array.from({ length: 10 }, () => random.next() < groups / 10);
    return draws.filter(Boolean).reduce((sum) => [one, one, one].reduce(sumDemand, sum), NO_DEMAND);
  });
}
