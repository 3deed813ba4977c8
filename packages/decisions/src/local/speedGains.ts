import type { EngineConfig, Millis, UpstreamId } from '@camphorvane/core';
import type { UpstreamSpeeds } from '../completion/UpstreamSpeeds.ts';
import type { PlacementRequest } from './LocalPlacement.ts';

/** Gets what the speed of an engine is worth, in milliseconds, by how much of its room is taken (0 to 1). */
export type SpeedGain = (engine: UpstreamId, roomTaken: number) => Millis;

/**
 * Gets by how much each decode engine completes an output sooner than the slowest one. A gain is worth the
 * less the fuller its engine is, so that the memory of fast engines doesn't run out for their speed.
 *
 * @param speeds - How fast engines are.
 * @param engines - All engines of the pool.
 * @param req - The request.
 * @param now - Present time.
 * @returns The gain of each engine; 0 where speed doesn't count.
 */
export function speedGains(
  speeds: UpstreamSpeeds,
  engines: readonly EngineConfig[],
  { memorySteps = 0, memoryTokens }: PlacementRequest,
  now: Millis,
): SpeedGain {
  const decodes = engines.filter(({ role }) => role === 'decode').map(({ id }) => id);
  const outputTokens = memorySteps / Math.max(1, memoryTokens);
  const delays = speeds.engineDelays(decodes, outputTokens, now);
  const slowest = Math.max(0, ...delays.values());
  return (engine, roomTaken) => {
    const delay = delays.get(engine);
    return delay === undefined ? 0 : (slowest - delay) * (1 - roomTaken);
  };
}
