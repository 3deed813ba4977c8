import { sleep, SystemClock, type TeamConfig } from '@camphorvane/core';
import { LoopbackGroup } from './LoopbackGroup.ts';
import { type Slope, slopeOf } from './Slope.ts';
import { WireMeter } from './WireMeter.ts';

/** How long each point is measured, in milliseconds. */
const SPAN_MS = 2000;

/** Time for a formed group to spread its shares before it is measured. */
const SETTLE_MS = 1500;

/** Requests a second of one active team, over all hosts. */
const ACTIVE_PER_SECOND = 2;

/** What one run of a group showed, for one host on average. */
interface GroupPoint {
  readonly messages: number;
  readonly bytes: number;
  readonly cpu: number;
  readonly platformCalls: number;
}

/** Makes teams that are large enough for any load of these runs. */
export function teamsOf(count: number): readonly TeamConfig[] {
  const rate = { tokensPerSecond: 100_000, burstTokens: 600_000 };
  return Array.from({ length: count }, (_, i) => ({
    ...{ id: `team-${i}`, rate, keyDigests: [], models: [], weight: 1 },
  }));
}

async function load(group: LoopbackGroup, active: number): Promise<void> {
  const clock = new SystemClock();
  const end = clock.now() + SPAN_MS;
  let next = 0;
  const ask = async (): Promise<void> => {
    next += 1;
    const rates = group.rates[next % group.rates.length];
    const charge = await rates?.charge(`team-${next % active}`, 400);
    if (charge?.isOk()) rates?.refund(charge.value, 100);
  };
  while (clock.now() < end) {
    const due = Math.floor(((SPAN_MS - (end - clock.now())) / 1000) * active * ACTIVE_PER_SECOND);
    while (next < due) await ask();
    await sleep(clock, 10);
  }
}

async function measure(size: number, teams: number, active: number): Promise<GroupPoint> {
  const clock = new SystemClock();
  const idle = await run(clock, size, teams, 0, 0);
  const busy = await run(clock, size, teams, active, SPAN_MS);
  const seconds = SPAN_MS / 1000;
  return {
    messages: busy.messages / seconds / size,
    // Connections report their bytes when they close, so the start of a group is measured apart.
    bytes: Math.max(0, busy.bytes - idle.bytes) / seconds / size,
    cpu: busy.cpu / seconds / size,
    platformCalls: busy.platformCalls / seconds / size,
  };
}

async function run(
  clock: SystemClock,
  size: number,
  teams: number,
  active: number,
  spanMs: number,
): Promise<GroupPoint> {
  const meter = new WireMeter();
  meter.start();
  const group = await LoopbackGroup.start(size, teamsOf(teams));
  await sleep(clock, SETTLE_MS);
  const before = { messages: group.messages, calls: group.platformCalls, cpu: process.cpuUsage() };
  if (active > 0) await load(group, active);
  else await sleep(clock, spanMs);
  const used = process.cpuUsage(before.cpu);
  const messages = group.messages - before.messages;
  const platformCalls = group.platformCalls - before.calls;
  await group.stop();
  await sleep(clock, 200);
  meter.stop();
  return { messages, bytes: meter.bytes, cpu: (used.user + used.system) / 1e6, platformCalls };
}

interface Sweep {
  readonly name: string;
  readonly size: string;
  readonly xs: readonly number[];
  readonly point: (x: number) => Promise<GroupPoint>;
}

const SWEEPS: readonly Sweep[] = [
  {
    name: 'group at rest',
    size: 'hosts in the group',
    xs: [3, 6, 9],
    point: (hosts) => measure(hosts, 50, 0),
  },
  {
    name: 'active teams',
    size: `teams with ${ACTIVE_PER_SECOND} requests/s in a group of 7`,
    xs: [5, 20, 60],
    point: (active) => measure(7, 500, active),
  },
  {
    name: 'idle teams',
    size: 'configured teams in a group of 3',
    xs: [100, 1000, 3000],
    point: (teams) => measure(3, teams, 0),
  },
];

/**
 * Measures what hosts of a group send each other, over real gRPC on loopback.
 *
 * @param done - Told the slopes of each sweep when it ends.
 */
export async function groupSlopes(): Promise<readonly Slope[]> {
  return SWEEPS.reduce(
    async (before, sweep) => {
      const done = await before;
      const points = await sweep.xs.reduce(
        async (earlier, x) => [...(await earlier), { x, seen: await sweep.point(x) }],
        Promise.resolve([] as { readonly x: number; readonly seen: GroupPoint }[]),
      );
      const of = (name: string, unit: string, get: (seen: GroupPoint) => number): Slope =>
        slopeOf(
          `${sweep.name}: ${name}`,
          sweep.size,
          unit,
          points.map(({ x, seen }) => ({ x, y: get(seen) })),
        );
      return [
        ...done,
        of('messages', 'messages/s per host', (seen) => seen.messages),
        of('bytes', 'bytes/s per host, both ways', (seen) => seen.bytes),
        of('processor', '% of a core per host', (seen) => seen.cpu * 100),
        of('platform', 'membership calls/s per host', (seen) => seen.platformCalls),
      ];
    },
    Promise.resolve([] as readonly Slope[]),
  );
}
