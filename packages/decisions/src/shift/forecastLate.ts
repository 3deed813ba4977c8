import type { Millis, Tokens } from '@camphorvane/core';
import type { PoolDemand } from './DemandHistory.ts';
import { DEMAND_SPAN_MS, NO_DEMAND, scaleDemand, sumDemand } from './DemandHistory.ts';

/** What the engines of both roles can do together. */
export interface PoolCapacity {
  /** Prompt tokens that are read in a millisecond. */
  readonly readPerMs: number;
  /** Memory for running requests. */
  readonly memoryTokens: Tokens;
  /** Milliseconds that an output token takes. */
  readonly tokenMs: Millis;
}

/** How a forecast is made. */
export interface ForecastOptions {
  /** Milliseconds for which a request may wait and still be on time. */
  readonly onTimeMs: Millis;
  /** By how much the demand is multiplied. */
  readonly factor: number;
}

/**
 * Milliseconds of demand that are played at least; less is played again. Memory fills over as long as a
 * request runs, so a short stretch, played once into empty engines, would make nobody late.
 */
const LEAST_PLAYED_MS: Millis = 20_000;

interface Flow {
  readonly waiting: PoolDemand;
  readonly running: PoolDemand;
  /** Requests that were late so far. */
  readonly late: number;
}

/**
 * Tells which part of the remembered requests would have been late with other engines.
 *
 * Demand flows through both stages as a liquid would, since a request begins only where it gets both:
 * prompts are read at a fixed rate, memory is given back as fast as the requests in it end. What would
 * wait for longer than requests may is late, and is taken out: late requests let the others pass, and
 * take neither stage's time from them.
 *
 * @param spans - Demand in spans of {@link DEMAND_SPAN_MS}.
 * @param capacity - The engines.
 * @param opts - Patience, and how much more is asked than was.
 * @returns A part from 0 to 1.
 */
export function forecastLate(
  spans: readonly PoolDemand[],
  capacity: PoolCapacity,
  opts: ForecastOptions,
): number {
  const requests = spans.reduce((sum, span) => sum + span.requests, 0);
  if (requests === 0) return 0;
  const times = Math.ceil(LEAST_PLAYED_MS / (spans.length * DEMAND_SPAN_MS));
  const played = Array.from({ length: times }, () => spans).flat();
  const start: Flow = { waiting: NO_DEMAND, running: NO_DEMAND, late: 0 };
  const end = played.reduce((flow, span) => flowOn(flow, span, capacity, opts), start);
  return Math.min(1, end.late / (requests * times * opts.factor));
}

function flowOn(
  { waiting, running, late }: Flow,
  span: PoolDemand,
  { readPerMs, memoryTokens, tokenMs }: PoolCapacity,
  { onTimeMs, factor }: ForecastOptions,
): Flow {
  const asking = sumDemand(waiting, scaleDemand(span, factor));
  const endedPart = Math.min(1, DEMAND_SPAN_MS / holdMs(running, tokenMs));
  const still = scaleDemand(running, 1 - endedPart);
  const free = Math.max(0, memoryTokens - still.memoryTokens);
  const begunPart = Math.min(
    partOf(free, asking.memoryTokens),
    partOf(readPerMs * DEMAND_SPAN_MS, asking.promptTokens),
  );
  const nowRunning = sumDemand(still, scaleDemand(asking, begunPart));
  // While all memory is in use, it comes back at the rate at which requests end.
  const soonFree = (memoryTokens / holdMs(nowRunning, tokenMs)) * onTimeMs;
  const soonPart = Math.min(
    partOf(soonFree, asking.memoryTokens),
    partOf(readPerMs * onTimeMs, asking.promptTokens),
  );
  const latePart = Math.max(0, 1 - begunPart - soonPart);
  return {
    waiting: scaleDemand(asking, 1 - begunPart - latePart),
    running: nowRunning,
    late: late + asking.requests * latePart,
  };
}

/** Gets for how long requests hold their memory, on average over the memory. */
function holdMs({ memoryTokens, memorySteps }: PoolDemand, tokenMs: Millis): Millis {
  return memoryTokens > 0 ? Math.max(1, (memorySteps / memoryTokens) * tokenMs) : 1;
}

/** Gets which part of what is asked can be given. */
function partOf(given: Tokens, asked: Tokens): number {
  return asked > 0 ? Math.min(1, given / asked) : 1;
}
