import type { Millis, Tokens } from '@camphorvane/core';
import type { PoolDemand } from './DemandHistory.ts';
import { NO_DEMAND, sumDemand } from './DemandHistory.ts';
import { forecastLate } from './forecastLate.ts';

/** What a split of the engines between the roles is judged by. */
export interface SplitGrounds {
  readonly spans: readonly PoolDemand[];
  /** Prompt tokens that one prefill engine reads in a millisecond. */
  readonly readPerMs: number;
  /** Memory that one decode engine has for running requests. */
  readonly memoryTokens: Tokens;
  /** Milliseconds that an output token takes. */
  readonly tokenMs: Millis;
  /** Milliseconds for which a request may wait and still be on time. */
  readonly onTimeMs: Millis;
}

/** Engines of each role. */
export interface RoleSplit {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

/** Splits that are compared; with more engines than this, one engine more or less tells little. */
const COMPARED_SPLITS = 16;

/** Requests whose memory stays unused on an engine: a request is not split between two of them. */
const UNUSED_REQUESTS = 0.5;

/** Wait that a request may have at least, in milliseconds, however long its prompt is read. */
const MIN_WAIT_MS: Millis = 50;

interface Weighed {
  readonly weight: number;
}

/**
 * Demand that is reckoned with, against what is remembered. Callers come in bursts of about twice the
 * usual for some seconds, and the first one comes before any was seen.
 */
const FACTORS: readonly (Weighed & { readonly factor: number })[] = [
  { factor: 1, weight: 0.5 },
  { factor: 1.5, weight: 0.3 },
  { factor: 2, weight: 0.2 },
];

/**
 * Losses of engines that are reckoned with: a crash takes one, or a sixth of many, for seconds. A split
 * whose last prefill engine is lost stops nearly all requests, so it must be worth that risk.
 */
const LOSSES: readonly (Weighed & {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
})[] = [
  { prefillEngines: 0, decodeEngines: 0, weight: 0.7 },
  { prefillEngines: 1, decodeEngines: 0, weight: 0.15 },
  { prefillEngines: 0, decodeEngines: 1, weight: 0.15 },
];

/** Part of the engines of a role that a crash takes. */
const LOST_PART = 1 / 6;

/**
 * What decode engines read of prompts where no prefill engine is there, against prefill engines: half
 * the speed, and for a tenth of the time, since their streams stand still meanwhile.
 */
const DECODE_READ_PART = 0.05;

/**
 * Gets the part of requests that would be late with a split, over all that is reckoned with.
 *
 * @param grounds - Demand and engines.
 * @param split - Engines of each role.
 * @returns A part from 0 to 1.
 */
export function expectedLate(grounds: SplitGrounds, split: RoleSplit): number {
  return LOSSES.reduce((sum, loss) => sum + loss.weight * lateWith(grounds, lose(split, loss)), 0);
}

/**
 * Gets the split with the fewest late requests; of equals, the one that is nearest to the present one.
 *
 * @param grounds - Demand and engines.
 * @param present - Engines of each role now.
 * @returns The split; each role keeps one engine.
 */
export function bestSplit(grounds: SplitGrounds, present: RoleSplit): RoleSplit {
  const all = present.prefillEngines + present.decodeEngines;
  const steps = Math.min(all, COMPARED_SPLITS);
  const compared = Array.from({ length: steps }, (_, i) => Math.round((i / steps) * all));
  const rated = [...new Set([...compared, present.prefillEngines])]
    .filter((prefillEngines) => prefillEngines > 0 && prefillEngines < all)
    .map((prefillEngines) => ({
      split: { prefillEngines, decodeEngines: all - prefillEngines },
      late: expectedLate(grounds, { prefillEngines, decodeEngines: all - prefillEngines }),
      distance: Math.abs(prefillEngines - present.prefillEngines),
    }));
  const [best] = rated.sort((a, b) => a.late - b.late || a.distance - b.distance);
  return best?.split ?? present;
}

function lateWith(grounds: SplitGrounds, { prefillEngines, decodeEngines }: RoleSplit): number {
  const { spans, onTimeMs, tokenMs } = grounds;
  const readPerMs =
    grounds.readPerMs * (prefillEngines > 0 ? prefillEngines : decodeEngines * DECODE_READ_PART);
  const sizes = meanRequest(spans);
  const usable = Math.max(1, grounds.memoryTokens - sizes.memoryTokens * UNUSED_REQUESTS);
  const capacity = { readPerMs, memoryTokens: usable * decodeEngines, tokenMs };
  // Its own prompt is read within the time that a request has.
  const readMs = sizes.promptTokens / grounds.readPerMs;
  const waitMs = Math.max(MIN_WAIT_MS, onTimeMs - readMs);
  return FACTORS.reduce(
    (sum, { factor, weight }) =>
      sum + weight * forecastLate(spans, capacity, { onTimeMs: waitMs, factor }),
    0,
  );
}

function meanRequest(
  spans: readonly PoolDemand[],
): Pick<PoolDemand, 'promptTokens' | 'memoryTokens'> {
  const all = spans.reduce(sumDemand, NO_DEMAND);
  const requests = Math.max(1, all.requests);
  return {
    promptTokens: all.promptTokens / requests,
    memoryTokens: all.memoryTokens / requests,
  };
}

function lose(split: RoleSplit, loss: RoleSplit): RoleSplit {
  const lost = (engines: number, part: number): number =>
    part === 0 ? 0 : Math.max(1, Math.round(engines * LOST_PART));
  return {
    prefillEngines: Math.max(
      0,
      split.prefillEngines - lost(split.prefillEngines, loss.prefillEngines),
    ),
    decodeEngines: Math.max(0, split.decodeEngines - lost(split.decodeEngines, loss.decodeEngines)),
  };
}
