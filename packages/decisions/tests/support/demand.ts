import type { Millis } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import type { PoolDemand } from '@camphorvane/decisions';
import { DEMAND_SPAN_MS, NO_DEMAND, sumDemand } from '@camphorvane/decisions';

/** Requests of one kind. */
export interface RequestShape {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Memory that such a request holds on average. */
export function memoryOf({ promptTokens, outputTokens }: RequestShape): number {
  return promptTokens + outputTokens * 0.75;
}

/**
 * Makes spans of demand: requests come in threes, at random times.
 *
 * @param shape - The requests.
 * @param perSecond - Requests a second at a time.
 * @param forMs - Length in milliseconds.
 * @param seed - Draws times and sizes.
 * @returns The spans.
 */
export function makeSpans(
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
  return Array.from({ length: Math.floor(forMs / DEMAND_SPAN_MS) }, (_, i) => {
    const clumps = (perSecond(i * DEMAND_SPAN_MS) * DEMAND_SPAN_MS) / 1_000 / 3;
    const draws = Array.from({ length: 10 }, () => random.next() < clumps / 10);
    return draws.filter(Boolean).reduce((sum) => [one, one, one].reduce(sumDemand, sum), NO_DEMAND);
  });
}
