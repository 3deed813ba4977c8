import type { RoutingConfig, TeamConfig, VirtualClock } from '@camphorvane/core';
import {
  CHUNK_KIND,
  CONFIG_KIND,
  ROOT_NAME,
  chunkConfig,
  type ObjectStore,
  type StoredObject,
} from '@camphorvane/store';
import { advanceUntilSettled } from './advanceUntilSettled.ts';
import { valueOf } from './results.ts';

/** Creates a team with the given key digests. */
export function team(id: string, keyDigests: readonly string[] = []): TeamConfig {
  const rate = { tokensPerSecond: 1000, burstTokens: 5000 };
  return { id, rate, keyDigests, models: [], weight: 1 };
}

/** Creates a configuration with teams only. */
export function configOf(...teams: readonly TeamConfig[]): RoutingConfig {
  return { teams, pools: [], services: [], waitRules: [] };
}

/** Creates a configuration with many teams. */
export function manyTeams(count: number): RoutingConfig {
  return configOf(...Array.from({ length: count }, (_, i) => team(`team-${i}`)));
}

/** Writes a configuration as the operator's `apply` command does, without its validation. */
export async function publish(
  clock: VirtualClock,
  store: ObjectStore,
  config: RoutingConfig,
): Promise<StoredObject> {
  const before = valueOf(await advanceUntilSettled(clock, store.get(CONFIG_KIND, ROOT_NAME)));
  const { chunks, manifest } = chunkConfig(config);
  await chunks.reduce(async (earlier, { digest, text }) => {
    await earlier;
    await advanceUntilSettled(
      clock,
      store.put(CHUNK_KIND, digest, { text, touchedAt: 0 }, 'absent'),
    );
  }, Promise.resolve());
  const root = { format: 1, changeId: 'c', requestDigest: 'd', manifest, history: [] };
  const expected = before?.version ?? 'absent';
  return valueOf(
    await advanceUntilSettled(clock, store.put(CONFIG_KIND, ROOT_NAME, root, expected)),
  );
}
