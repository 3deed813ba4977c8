import { RandomSource, type HostId, type Millis } from '@camphorvane/core';
import { SimulatedGroup, KEYS } from '../support/SimulatedGroup.ts';

/** Measured group sizes, from the smallest that survives a crash to the largest. */
const SIZES = [3, 6, 9];

/** Number of crashes and of leaves measured per size, at different phases of the heartbeat period. */
const TRIALS = 10;

/** Virtual time over which the messages of an idle group are counted. */
const QUIET_MS = 60_000;

const STEP_MS = 50;
const GIVE_UP_MS = 60_000;

interface Quiet {
  readonly messages: number;
  readonly bytes: number;
  readonly calls: number;
  readonly cpuMs: number;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Measures the load of an idle group, per host and second. */
async function quiet(size: number): Promise<Quiet> {
  const world = new SimulatedGroup();
  await world.startGroup(size);
  const before = { messages: world.messages, bytes: world.bytes, calls: world.platform.calls };
  const cpu = process.cpuUsage();
  await world.clock.advance(QUIET_MS);
  const spent = process.cpuUsage(cpu);
  const perHostSecond = (total: number): number => total / size / (QUIET_MS / 1_000);
  return {
    messages: perHostSecond(world.messages - before.messages),
    bytes: perHostSecond(world.bytes - before.bytes),
    calls: perHostSecond(world.platform.calls - before.calls),
    cpuMs: perHostSecond((spent.user + spent.system) / 1_000),
  };
}

/** Measures how long any key has no coordinator after an event. */
async function timeUnserved(world: SimulatedGroup, without: HostId): Promise<Millis> {
  const start = world.clock.now();
  const isServed = (key: string): boolean => world.coordinatorsOf(key).some((id) => id !== without);
  while (!KEYS.every(isServed) && world.clock.now() - start < GIVE_UP_MS) {
    await world.run(STEP_MS, STEP_MS);
  }
  return world.clock.now() - start;
}

async function trial(size: number, seed: number, kind: 'crash' | 'leave'): Promise<Millis> {
  const random = new RandomSource(seed);
  const world = new SimulatedGroup();
  const ids = await world.startGroup(size);
  await world.clock.advance(random.int(0, 1_000));
  // A host without keys would end the trial at once.
  const victim = ids.find((id) => KEYS.some((key) => world.runner(id).coordinatorOf(key) === id));
  if (victim === undefined) throw new Error('no host has a key');
  if (kind === 'crash') world.crash(victim);
  else void world.runner(victim).leave(GIVE_UP_MS);
  return timeUnserved(world, victim);
}

async function trials(size: number, kind: 'crash' | 'leave'): Promise<readonly Millis[]> {
  const seeds = Array.from({ length: TRIALS }, (_, index) => index + 1);
  const times = await seeds.reduce<Promise<readonly Millis[]>>(async (before, seed) => {
    const done = await before;
    return [...done, await trial(size, seed, kind)];
  }, Promise.resolve([]));
  return [...times].sort((a, b) => a - b);
}

function spread(times: readonly Millis[]): string {
  return `${times[Math.floor(times.length / 2)]} / ${times.at(-1)}`;
}

print(
  'Membership in virtual time; messages count requests, bytes both ways as JSON without framing.',
);
print(
  'hosts  msg/s  bytes/s  platform calls/s  CPU ms/s  crash ms (p50 / max)  leave ms (p50 / max)',
);
await SIZES.reduce<Promise<void>>(async (before, size) => {
  await before;
  const { messages, bytes, calls, cpuMs } = await quiet(size);
  const crash = spread(await trials(size, 'crash'));
  const leave = spread(await trials(size, 'leave'));
  const cells = [
    String(size).padStart(5),
    messages.toFixed(1).padStart(6),
    bytes.toFixed(0).padStart(8),
    calls.toFixed(2).padStart(17),
    cpuMs.toFixed(2).padStart(9),
    crash.padStart(21),
    leave.padStart(21),
  ];
  print(cells.join(' '));
}, Promise.resolve());
