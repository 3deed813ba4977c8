import type { Millis, Tokens } from '@camphorvane/core';
import type { PoolDemand } from './DemandHistory.ts';
import { DEMAND_SPAN_MS } from './DemandHistory.ts';

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
  readonly unread: Tokens;
  readonly waiting: Tokens;
  readonly running: Tokens;
  readonly holdMs: Millis;
  readonly late: number;
}

/**
 * Tells which part of the remembered requests would have been late with other engines.
 *
 * Demand flows through both stages as a liquid would: prompts are read at a fixed rate, memory is given
 * back as fast as the requests in it end. What would wait for longer than requests may is late, and
 * is taken out: late requests let the others pass.
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
  const start: Flow = { unread: 0, waiting: 0, running: 0, holdMs: 1, late: 0 };
  const end = played.reduce((flow, span) => flowOn(flow, span, capacity, opts), start);
  return Math.min(1, end.late / (requests * times));
}

function flowOn(
  flow: Flow,
  span: PoolDemand,
  { readPerMs, memoryTokens, tokenMs }: PoolCapacity,
  { onTimeMs, factor }: ForecastOptions,
): Flow {
  const steps = span.memoryTokens > 0 ? span.memorySteps / span.memoryTokens : undefined;
  const holdMs = steps === undefined ? flow.holdMs : Math.max(1, steps * tokenMs);

  const unread = flow.unread + span.promptTokens * factor;
  const readable = readPerMs * (onTimeMs + DEMAND_SPAN_MS);
  const unreadLate = Math.max(0, unread - readable);

  const ended = Math.min(flow.running, (flow.running * DEMAND_SPAN_MS) / holdMs);
  const asking = flow.waiting + span.memoryTokens * factor;
  const free = Math.max(0, memoryTokens - flow.running + ended);
  const begun = Math.min(asking, free);
  // While all memory is in use, it comes back at the rate at which requests end.
  const soonFree = (memoryTokens / holdMs) * onTimeMs;
  const memoryLate = Math.max(0, asking - begun - soonFree);

  const lateRequests =
    partOf(unreadLate, span.promptTokens * factor) * span.requests +
    partOf(memoryLate, span.memoryTokens * factor) * span.requests;
  return {
    unread: Math.max(0, unread - unreadLate - readPerMs * DEMAND_SPAN_MS),
    waiting: asking - begun - memoryLate,
    running: flow.running - ended + begun,
    holdMs,
    late: flow.late + Math.min(span.requests, lateRequests),
  };
}

function partOf(late: Tokens, asked: Tokens): number {
  return asked > 0 ? Math.min(1, late / asked) : 0;
}
