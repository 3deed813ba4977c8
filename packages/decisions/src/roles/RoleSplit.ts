import type { Millis, Tokens } from '@camphorvane/core';
import type { PoolDemand } from './DemandHistory.ts';
import { NO_DEMAND, sumDemand } from './DemandHistory.ts';
import { forecastLateShare } from './forecastLateShare.ts';

/** Demand and engine speeds by which a split of the engines between the roles is rated. */
export interface SplitInputs {
  /** Recorded demand, in buckets of fixed width. */
  readonly buckets: readonly PoolDemand[];
  /** Prompt tokens that one prefill engine processes per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Memory that one decode engine has for running requests. */
  readonly memoryTokens: Tokens;
  /** Time per output token. */
  readonly tokenIntervalMs: Millis;
  /** Time for which a request may wait and still be on time. */
  readonly onTimeMs: Millis;
}

/** Number of engines of each role. */
export interface RoleSplit {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

/** Maximum number of splits compared; in large pools a single engine hardly changes the forecast. */
const MAX_COMPARED_SPLITS = 16;

/** Memory left unused per engine, in mean requests: a request can't be split between two engines. */
const UNUSED_REQUESTS_PER_ENGINE = 0.5;

/** Minimum allowed wait, even if the prefill of a mean prompt takes up the allowed time. */
const MIN_WAIT_MS: Millis = 50;

interface Weighted {
  readonly weight: number;
}

/**
 * Demand levels rated, relative to the recorded demand. Bursts reach about twice the usual demand
 * for several seconds, and the first one arrives before any has been recorded.
 */
const DEMAND_LEVELS: readonly (Weighted & { readonly factor: number })[] = [
  { factor: 1, weight: 0.5 },
  { factor: 1.5, weight: 0.3 },
  { factor: 2, weight: 0.2 },
];

/**
 * Engine losses rated: a crash takes out one engine, or a sixth of many, for seconds. Losing the
 * only prefill engine stops nearly all requests, so a split with one must be worth that risk.
 */
const ENGINE_LOSSES: readonly (Weighted & {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
})[] = [
  { prefillEngines: 0, decodeEngines: 0, weight: 0.7 },
  { prefillEngines: 1, decodeEngines: 0, weight: 0.15 },
  { prefillEngines: 0, decodeEngines: 1, weight: 0.15 },
];

/** Share of a role's engines that a crash takes out. */
const LOST_SHARE = 1 / 6;

/**
 * Prefill speed of a decode engine relative to a prefill engine, used if no prefill engine is left:
 * half the speed, for a tenth of the time, since its streams stall during a prefill.
 */
const DECODE_PREFILL_SPEED = 0.05;

/**
 * Gets the expected share of late requests with a split, over all demand levels and engine losses.
 *
 * @param inputs - Demand and engine speeds.
 * @param split - Number of engines of each role.
 * @returns Share of requests, from 0 to 1.
 */
export function getExpectedLateShare(inputs: SplitInputs, split: RoleSplit): number {
  return ENGINE_LOSSES.reduce(
    (sum, loss) => sum + loss.weight * lateShareOf(inputs, applyLoss(split, loss)),
    0,
  );
}

/**
 * Finds the split with the fewest late requests; of equals, the one nearest to the current split.
 *
 * @param inputs - Demand and engine speeds.
 * @param current - Current number of engines of each role.
 * @returns The split, with at least one engine of each role.
 */
export function findBestSplit(inputs: SplitInputs, current: RoleSplit): RoleSplit {
  const total = current.prefillEngines + current.decodeEngines;
  const steps = Math.min(total, MAX_COMPARED_SPLITS);
  const compared = Array.from({ length: steps }, (_, i) => Math.round((i / steps) * total));
  const rated = [...new Set([...compared, current.prefillEngines])]
    .filter((prefillEngines) => prefillEngines > 0 && prefillEngines < total)
    .map((prefillEngines) => ({
      split: { prefillEngines, decodeEngines: total - prefillEngines },
      lateShare: getExpectedLateShare(inputs, {
        prefillEngines,
        decodeEngines: total - prefillEngines,
      }),
      distance: Math.abs(prefillEngines - current.prefillEngines),
    }));
  const [best] = rated.sort((a, b) => a.lateShare - b.lateShare || a.distance - b.distance);
  return best?.split ?? current;
}

function lateShareOf(inputs: SplitInputs, { prefillEngines, decodeEngines }: RoleSplit): number {
  const { buckets, onTimeMs, tokenIntervalMs } = inputs;
  const prefillTokensPerMs =
    inputs.prefillTokensPerMs *
    (prefillEngines > 0 ? prefillEngines : decodeEngines * DECODE_PREFILL_SPEED);
  const mean = meanRequest(buckets);
  const usable = Math.max(1, inputs.memoryTokens - mean.memoryTokens * UNUSED_REQUESTS_PER_ENGINE);
  const capacity = { prefillTokensPerMs, memoryTokens: usable * decodeEngines, tokenIntervalMs };
  // The allowed time includes the prefill of the request's own prompt.
  const prefillMs = mean.promptTokens / inputs.prefillTokensPerMs;
  const maxWaitMs = Math.max(MIN_WAIT_MS, onTimeMs - prefillMs);
  return DEMAND_LEVELS.reduce(
    (sum, { factor, weight }) =>
      sum + weight * forecastLateShare(buckets, capacity, { onTimeMs: maxWaitMs, factor }),
    0,
  );
}

function meanRequest(
  buckets: readonly PoolDemand[],
): Pick<PoolDemand, 'promptTokens' | 'memoryTokens'> {
  const total = buckets.reduce(sumDemand, NO_DEMAND);
  const requests = Math.max(1, total.requests);
  return {
    promptTokens: total.promptTokens / requests,
    memoryTokens: total.memoryTokens / requests,
  };
}

function applyLoss(split: RoleSplit, loss: RoleSplit): RoleSplit {
  const countLost = (engines: number, crashes: number): number =>
    crashes === 0 ? 0 : Math.max(1, Math.round(engines * LOST_SHARE));
  return {
    prefillEngines: Math.max(
      0,
      split.prefillEngines - countLost(split.prefillEngines, loss.prefillEngines),
    ),
    decodeEngines: Math.max(
      0,
      split.decodeEngines - countLost(split.decodeEngines, loss.decodeEngines),
    ),
  };
}
