import type { ControlRate, FleetLoad } from './ControlFleet.ts';
import { ControlFleet } from './ControlFleet.ts';
import { measureGrpc } from './grpcCost.ts';
import type { Point } from './linearFit.ts';
import { at, slopeOf } from './Slope.ts';
import type { Slope } from './Slope.ts';

const BASE: FleetLoad = { hosts: 8, teams: 50, requestsPerSecond: 0, outputTokens: 20 };

/** Requests of one team in a second at the size of letter 1: 1,000 a second of 20,000 teams. */
const REQUESTS_PER_TEAM = 0.05;

const MS_PER_SECOND = 1_000;

const METERS: readonly ('messages' | 'bytes')[] = ['messages', 'bytes'];

interface Series {
  readonly name: string;
  readonly size: string;
  readonly loads: readonly FleetLoad[];
  readonly x: (load: FleetLoad, rate: ControlRate) => number;
}

const SERIES: readonly Series[] = [
  {
    name: 'whole hosts at rest',
    size: 'hosts in the group',
    loads: [3, 5, 7, 9].map((hosts) => ({ ...BASE, hosts })),
    x: (load) => load.hosts,
  },
  {
    name: 'whole hosts, teams with 0.05 requests/s',
    size: 'teams of a group of 8',
    loads: [60, 120, 240, 460].map((teams) => ({
      ...BASE,
      teams,
      requestsPerSecond: teams * REQUESTS_PER_TEAM,
    })),
    x: (load) => load.teams,
  },
  {
    name: 'whole hosts, 50 teams',
    size: 'requests/s of a group of 8',
    loads: [2, 6, 12, 24].map((requestsPerSecond) => ({ ...BASE, requestsPerSecond })),
    x: (load) => load.requestsPerSecond,
  },
  {
    name: 'whole hosts, 6 requests/s of a group of 8',
    size: 'streams held by a host',
    loads: [200, 400, 800, 1_600].map((outputTokens) => ({
      ...BASE,
      requestsPerSecond: 6,
      outputTokens,
    })),
    x: (_, rate) => rate.streams,
  },
];

async function measureSeries({ name, size, loads, x }: Series): Promise<readonly Slope[]> {
  const rates = await loads.reduce(async (before, load) => {
    const list = await before;
    const rate = await new ControlFleet(load).measure();
    return [...list, { x: x(load, rate), rate }];
  }, Promise.resolve<readonly { readonly x: number; readonly rate: ControlRate }[]>([]));
  return METERS.map((meter) => {
    const points = rates.map((one): Point => ({ x: one.x, y: one.rate[meter] }));
    return slopeOf(`${name}: ${meter}`, size, `${meter}/s per host`, points);
  });
}

/**
 * Measures what whole hosts say to one another, in virtual time: the same run gives the same counts.
 *
 * @returns Messages and bytes of questions and answers, without framing.
 */
export async function hostSlopes(): Promise<readonly Slope[]> {
  return SERIES.reduce(async (before, series) => {
    const list = await before;
    return [...list, ...(await measureSeries(series))];
  }, Promise.resolve<readonly Slope[]>([]));
}

/** Entries of the questions measured over gRPC, which set their size. */
const QUESTION_SIZES = [0, 2, 10, 50];

/**
 * Measures what one question costs over gRPC on loopback, both ends and a counting relay in one
 * process, after a warm-up.
 *
 * @returns Bytes on the wire and processor time by the bytes of the messages.
 */
export async function grpcSlopes(): Promise<readonly Slope[]> {
  const costs = await QUESTION_SIZES.reduce(async (before, reports) => {
    const list = await before;
    return [...list, await measureGrpc(reports)];
  }, Promise.resolve<readonly Awaited<ReturnType<typeof measureGrpc>>[]>([]));
  const by = (name: string, unit: string, y: (cost: (typeof costs)[number]) => number): Slope =>
    slopeOf(
      `one question over gRPC: ${name}`,
      'bytes of its messages',
      unit,
      costs.map((cost) => ({ x: cost.messageBytes, y: y(cost) })),
    );
  return [
    by('on the wire', 'bytes', (cost) => cost.wireBytes),
    by('processor', 'ms, both ends', (cost) => cost.cpuMs),
  ];
}

/** The size of letter 1, for one host of a group of 8. */
const LETTER = { hosts: 350, groupHosts: 8, teams: 20_000, tokensPerSecond: 450_000, itlMs: 35 };

/**
 * Works out what control costs a host at the size of letter 1 from measured slopes.
 *
 * @param hosts - What {@link hostSlopes} gave.
 * @param grpc - What {@link grpcSlopes} gave.
 * @returns Lines to print.
 */
export function atLetterSize(hosts: readonly Slope[], grpc: readonly Slope[]): readonly string[] {
  const [, , messages, bytes, , , streamMessages, streamBytes] = hosts;
  const [wire, cpu] = grpc;
  if (!messages || !bytes || !streamMessages || !streamBytes || !wire || !cpu) return [];
  const teams = (LETTER.teams * LETTER.groupHosts) / LETTER.hosts;
  const streams = (LETTER.tokensPerSecond * LETTER.itlMs) / MS_PER_SECOND / LETTER.hosts;
  const sent = at(messages, teams) + streamMessages.fit.slope * streams;
  const messageBytes = at(bytes, teams) + streamBytes.fit.slope * streams;
  // A question has one end at each of two hosts, so a host pays for one end of twice as many.
  const wireBytes = 2 * sent * wire.fit.intercept + messageBytes * wire.fit.slope;
  const cpuMs = sent * cpu.fit.intercept + (messageBytes / 2) * cpu.fit.slope;
  return [
    `at letter 1's size, for a host of a group of ${LETTER.groupHosts} (${teams.toFixed(0)} teams, ${streams.toFixed(0)} streams held):`,
    `  questions sent   ${sent.toFixed(1)}/s`,
    `  bytes on wire    ${wireBytes.toFixed(0)}/s, both ways`,
    `  processor        ${cpuMs.toFixed(1)} ms/s for all messages`,
  ];
}
