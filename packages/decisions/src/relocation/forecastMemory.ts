import type { Millis, Tokens } from '@camphorvane/core';
import type { HeldMemory, RelocationEngine } from './relocationView.ts';
import { FORECAST_HORIZON_MS } from './relocationView.ts';

/** When the memory of an engine runs out, if its streams go on. */
export interface MemoryForecast {
  /** Milliseconds until nothing is free; infinite if that is beyond the horizon. */
  readonly runsOutMs: Millis;
  /** Tokens by which the demand at the horizon exceeds the memory. */
  readonly shortageTokens: Tokens;
}

/**
 * Forecasts the memory of a decode engine.
 *
 * Addresses streams whose outputs grow together: an engine that runs out preempts a stream, which pauses
 * and costs a second prefill.
 *
 * @param engine - The engine.
 * @returns The forecast over {@link FORECAST_HORIZON_MS}.
 */
export function forecastMemory({
  capacityTokens,
  held,
}: Pick<RelocationEngine, 'capacityTokens' | 'held'>): MemoryForecast {
  const demandTokens = held.tokens + held.growthPerMs * FORECAST_HORIZON_MS;
  const shortageTokens = Math.max(0, demandTokens - capacityTokens);
  if (shortageTokens === 0) return { runsOutMs: Infinity, shortageTokens };
  const freeTokens = Math.max(0, capacityTokens - held.tokens);
  return { runsOutMs: freeTokens / held.growthPerMs || 0, shortageTokens };
}

/**
 * Gets what a stream contributes to the memory of its engine. A stream that ends within the horizon grows
 * only until then.
 *
 * @param heldTokens - KV memory that it holds now.
 * @param remainingTokens - Output that is still expected.
 * @param tokenMs - Milliseconds between two of its tokens.
 * @returns Its memory.
 */
export function heldByStream(
  heldTokens: Tokens,
  remainingTokens: Tokens,
  tokenMs: Millis,
): HeldMemory {
  const growthPerMs = Math.min(1 / tokenMs, remainingTokens / FORECAST_HORIZON_MS);
  return { tokens: heldTokens, growthPerMs };
}
