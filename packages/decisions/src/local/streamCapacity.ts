import type { EngineConfig, Millis } from '@camphorvane/core';
import { TOKENS_PER_PIECE } from '@camphorvane/core';
import type { InFlightTracker } from './InFlightTracker.ts';
import { MEMORY_FILL_LIMIT } from './LocalPlacement.ts';

/**
 * Gets how many streams the decode engines of a pool run at once when they are full.
 *
 * @param engines - Engines of the pool.
 * @param inFlight - Streams of all hosts, from which their mean memory follows.
 * @param now - Present time.
 * @returns Streams; 0 where nothing is known of the memory of a stream, and engines have no slots.
 */
export function streamCapacity(
  engines: readonly EngineConfig[],
  inFlight: InFlightTracker,
  now: Millis,
): number {
  const decode = engines.filter(({ role }) => role === 'decode');
  const loads = decode.map(({ id }) => inFlight.getTotal(id, now));
  const streams = loads.reduce((sum, load) => sum + load.streams, 0);
  const memory = loads.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
  return decode
    .map(({ slots = Infinity, memoryPieces }) => {
      const tokens = memoryPieces * TOKENS_PER_PIECE * MEMORY_FILL_LIMIT;
      return Math.min(slots, streams === 0 ? Infinity : tokens / (memory / streams));
    })
    .filter((count) => count < Infinity)
    .reduce((sum, count) => sum + count, 0);
}
