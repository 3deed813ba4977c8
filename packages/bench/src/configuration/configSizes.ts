import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { RandomSource, SystemClock, type Millis } from '@camphorvane/core';
import { applyConfig } from '@camphorvane/operator';
import { CHUNK_KIND, CONFIG_KIND, ConfigFollower, HttpObjectStore } from '@camphorvane/store';
import { MemoryObjectStore, serveApp, storeRoutes } from '@camphorvane/stand-ins';
import { fleetConfig } from './fleetConfig.ts';

/** What a configuration of one size costs a host. */
export interface SizeReport {
  readonly teams: number;
  readonly parts: number;
  /** Bytes of all parts together, as the platform holds them. */
  readonly configBytes: number;
  /** Bytes of the root. */
  readonly rootBytes: number;
  /** Bytes that a change of one team sends to each host. */
  readonly changeBytes: number;
  /** From the start of a follower until the configuration is in force. */
  readonly loadMs: Millis;
  /** Processor time of that, the stand-in platform in the same process included. */
  readonly loadCpuMs: Millis;
  /** From the start of an apply of one team's change until it is in force, without the spread. */
  readonly changeMs: Millis;
  /** Heap that the follower holds afterwards. */
  readonly heapBytes: number;
}

/**
 * Measures a follower over HTTP on loopback.
 *
 * @param teams - Teams of the configuration.
 * @returns What was measured; times and heap differ from run to run.
 */
export async function measureSize(teams: number): Promise<SizeReport> {
  const clock = new SystemClock();
  const memory = new MemoryObjectStore(clock);
  memory.setFaults({ delayMs: 0, writesPerSecond: 1e6, readsPerSecond: 1e6 });
  const server = await serveApp(storeRoutes(memory), 0);
  const store = new HttpObjectStore({ baseUrl: `http://127.0.0.1:${server.port}`, clock });
  const context = { store, clock, random: new RandomSource(1) };
  const base = { type: 'none' } as const;
  await accepted(applyConfig(context, fleetConfig(teams), { changeId: 'first', base }));
  const stored = sizesOf(memory);
  const heapBefore = heap();
  const follower = new ConfigFollower({ ...context, spreadMs: 0 });
  const cpu = process.cpuUsage();
  const startedAt = clock.now();
  follower.start();
  await nextVersion(follower);
  const loadMs = clock.now() - startedAt;
  const used = process.cpuUsage(cpu);
  const heapBytes = heap() - heapBefore;
  const change = fleetConfig(teams, 0);
  const options = {
    changeId: 'second',
    base: { type: 'config', config: fleetConfig(teams) },
  } as const;
  const inForce = nextVersion(follower).then(() => clock.now());
  const changedAt = clock.now();
  await accepted(applyConfig(context, change, options));
  const changeMs = (await inForce) - changedAt;
  await follower.stop();
  await store.close();
  await server.close();
  return {
    teams,
    ...stored,
    changeBytes: changeBytes(memory),
    loadMs,
    loadCpuMs: (used.user + used.system) / 1000,
    changeMs,
    heapBytes,
  };
}

function nextVersion(follower: ConfigFollower): Promise<void> {
  return new Promise((resolve) => {
    const off = follower.onChange(() => {
      off();
      resolve();
    });
  });
}

async function accepted(pending: ReturnType<typeof applyConfig>): Promise<void> {
  const result = await pending;
  if (result.isErr()) throw new Error(`the configuration was not accepted: ${result.error.type}`);
}

function sizesOf(
  store: MemoryObjectStore,
): Pick<SizeReport, 'parts' | 'configBytes' | 'rootBytes'> {
  const objects = store.snapshot();
  const chunks = objects.filter((object) => object.kind === CHUNK_KIND);
  const root = objects.filter((object) => object.kind === CONFIG_KIND);
  return { parts: chunks.length, configBytes: bytesOf(chunks), rootBytes: bytesOf(root) };
}

/** The root and the one part that is newer than all others. */
function changeBytes(store: MemoryObjectStore): number {
  const objects = store.snapshot();
  const root = objects.filter((object) => object.kind === CONFIG_KIND);
  const chunks = objects.filter((object) => object.kind === CHUNK_KIND);
  const newest = Math.max(...chunks.map((chunk) => chunk.version));
  return bytesOf(root) + bytesOf(chunks.filter((chunk) => chunk.version === newest));
}

function bytesOf(objects: readonly unknown[]): number {
  return objects.reduce<number>((sum, object) => sum + JSON.stringify(object).length, 0);
}

function heap(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}
