import type { UpstreamId } from '@camphorvane/core';
import type { HeldMemory } from '@camphorvane/decisions';
import { sumHeld } from '@camphorvane/decisions';
import type { EngineHint, HostHint } from '@camphorvane/peer/hints';

/**
 * Limit of the engines in one digest, which keeps those with the most memory in use: an engine takes
 * about 40 bytes, and a datagram holds 64 KB.
 */
const MAX_ENGINES = 1_200;

/**
 * Limit of the engines in one digest with what their streams hold, 12 bytes each: 7 KB per second for a
 * host in a fleet of 350. Only engines that are nearly full need it.
 */
const MAX_HELD_ENGINES = 128;

/** Sums up the load of hosts on the engines. */
export function sumEngines(hints: readonly HostHint[]): ReadonlyMap<UpstreamId, EngineHint> {
  return hints
    .flatMap((hint) => hint.engines)
    .reduce((sums, one) => {
      const sum = sums.get(one.engine);
      return sums.set(one.engine, {
        engine: one.engine,
        prefillTokens: one.prefillTokens + (sum?.prefillTokens ?? 0),
        streams: one.streams + (sum?.streams ?? 0),
        memoryTokens: one.memoryTokens + (sum?.memoryTokens ?? 0),
        ...addHeld(sum, one),
      });
    }, new Map<UpstreamId, EngineHint>());
}

type Held = Pick<EngineHint, 'held'>;

/** Adds up what streams hold; the mean memory stands in for hosts that don't report it. */
function addHeld(sum: EngineHint | undefined, one: EngineHint): Held {
  if (sum?.held === undefined && one.held === undefined) return {};
  return { held: sumHeld(heldOrMean(sum), heldOrMean(one)) };
}

function subtractHeld({ held }: EngineHint, load: EngineHint): Held {
  if (held === undefined) return {};
  const own = heldOrMean(load);
  const tokens = Math.max(0, held.tokens - own.tokens);
  return { held: { tokens, growthPerMs: Math.max(0, held.growthPerMs - own.growthPerMs) } };
}

function heldOrMean(load: EngineHint | undefined): HeldMemory {
  return load?.held ?? { tokens: load?.memoryTokens ?? 0, growthPerMs: 0 };
}

/** Gets the load of all hosts but one on the engines; an engine that only it uses is left out. */
export function enginesWithout(
  sums: ReadonlyMap<UpstreamId, EngineHint>,
  own: HostHint | undefined,
): readonly EngineHint[] {
  const ownLoads = new Map(own?.engines.map((one) => [one.engine, one]));
  const others = [...sums.values()]
    .map((sum) => {
      const load = ownLoads.get(sum.engine);
      if (load === undefined) return sum;
      return {
        engine: sum.engine,
        prefillTokens: Math.max(0, sum.prefillTokens - load.prefillTokens),
        streams: Math.max(0, sum.streams - load.streams),
        memoryTokens: Math.max(0, sum.memoryTokens - load.memoryTokens),
        ...subtractHeld(sum, load),
      };
    })
    .filter((load) => load.prefillTokens + load.streams + load.memoryTokens > 0);
  const kept =
    others.length <= MAX_ENGINES
      ? others
      : others.sort((a, b) => b.memoryTokens - a.memoryTokens).slice(0, MAX_ENGINES);
  return boundHeld(kept);
}

/** Keeps what streams hold for the engines that hold the most; the mean memory does for the others. */
function boundHeld(engines: readonly EngineHint[]): readonly EngineHint[] {
  const withHeld = engines.filter(({ held }) => held !== undefined);
  if (withHeld.length <= MAX_HELD_ENGINES) return engines;
  const fullest = new Set(
    withHeld
      .sort((a, b) => heldOrMean(b).tokens - heldOrMean(a).tokens)
      .slice(0, MAX_HELD_ENGINES)
      .map(({ engine }) => engine),
  );
  return engines.map(({ held, ...load }) =>
    fullest.has(load.engine) && held !== undefined ? { ...load, held } : load,
  );
}
