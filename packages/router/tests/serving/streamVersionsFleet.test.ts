import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RoutingConfig } from '@camphorvane/core';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import type { StreamOrigin } from '@camphorvane/decisions';
import type { OriginLink, OriginSource } from '@camphorvane/peer/origins';
import { Metrics } from '@camphorvane/router';
import type { FleetMember } from '../../src/host/ports.ts';
import { UpstreamDirectory } from '../../src/host/UpstreamDirectory.ts';
import { StreamVersions } from '../../src/serving/StreamVersions.ts';

const VERSIONS = ['v1', 'v2'];

const CONFIG = {
  ...{ teams: [], services: [], waitRules: [] },
  pools: [
    {
      model: 'm',
      softwareVersions: VERSIONS.map((name) => ({ type: 'known', name })),
      engines: VERSIONS.map((name) => ({
        ...{ id: name, url: `http://${name}`, zone: 'a', role: 'decode', memoryPieces: 1 },
        softwareVersion: { type: 'known', name },
      })),
    },
  ],
} as unknown as RoutingConfig;

interface FleetHost {
  readonly member: FleetMember;
  versions: StreamVersions;
  isUp: boolean;
  /** Whether it neither hears its peers nor is heard by them. */
  isCutOff: boolean;
  /** Whether it runs an earlier program, which knows no versions. */
  readonly isEarlier: boolean;
  answer: OriginSource;
  hear: (origins: readonly StreamOrigin[]) => void;
}

/** Hosts that tell each other which versions began streams. */
class VersionFleet {
  readonly clock = new VirtualClock();

  readonly hosts: readonly FleetHost[];

  private readonly directory = new UpstreamDirectory(
    () => ({}) as never,
    () => ({}) as never,
  );

  constructor(count: number, earlier = 0) {
    this.directory.reconfigure(CONFIG);
    this.hosts = Array.from({ length: count }, (_, i) => {
      const host = `h${i}`;
      const member = {
        ...{
          host,
          zone: 'abc'[i % 3] ?? 'a',
          callerAddress: `${host}:2`,
          peerAddress: `${host}:1`,
        },
        ...{ leaving: false, serving: true, cutOff: false },
      };
      const own = { member, isUp: true, isCutOff: false, isEarlier: i < earlier };
      return Object.assign(own, {
        answer: undefined,
        hear: undefined,
        versions: undefined,
      }) as never;
    });
    this.hosts.forEach((host) => this.restart(host));
  }

  /** Starts a host, which knows nothing. */
  restart(host: FleetHost): void {
    const link: OriginLink = {
      tell: (origins, to) => to.forEach((address) => this.reach(host, address)?.hear(origins)),
      onTold: (listener) => Object.assign(host, { hear: listener }),
      setSource: (source) => Object.assign(host, { answer: source }),
      ask: async (address, id, model) => this.reach(host, address)?.answer(id, model),
    };
    const { clock, directory } = this;
    const versions = new StreamVersions({
      ...{ self: host.member.host, clock, directory, metrics: new Metrics(), link },
      confirmList: async () => true,
      isListCurrent: () => true,
      getRoutes: () => [],
      getMembers: () => this.hosts.filter(({ isUp }) => isUp).map(({ member }) => member),
    });
    versions.recordVersions();
    Object.assign(host, { isUp: true, versions });
  }

  private reach(from: FleetHost, address: string): FleetHost | undefined {
    const to = this.hosts.find(({ member }) => member.peerAddress === address);
    if (from.isCutOff || from.isEarlier || to === undefined) return undefined;
    return to.isUp && !to.isCutOff && !to.isEarlier ? to : undefined;
  }
}

interface Outcome {
  readonly wrong: number;
  readonly wentOn: number;
  readonly all: number;
}

/** Begins streams at all hosts, changes some hosts, and takes the streams up at others. */
async function takeUps(
  fleet: VersionFleet,
  change: (host: FleetHost, index: number) => void,
): Promise<Outcome> {
  const random = new RandomSource(fleet.hosts.length);
  const pick = (hosts: readonly FleetHost[]): FleetHost =>
    hosts[random.int(0, hosts.length - 1)] as FleetHost;
  const knowing = fleet.hosts.filter(({ isEarlier }) => !isEarlier);
  const streams = Array.from({ length: 200 }, (_, i) => {
    const version = VERSIONS[random.int(0, 1)] ?? '';
    pick(knowing).versions.begin(`s${i}`, { version, pool: 'm' });
    return { id: `s${i}`, version };
  });
  fleet.hosts.forEach(change);
  const live = knowing.filter(({ isUp }) => isUp);
  const results = await Promise.all(
    streams.map(async ({ id, version }) => {
      const decision = await pick(live).versions.takeUp(`${id}-t`, id, ['m']);
      if (decision.type === 'unknown') return 'refused';
      const { binding } = decision;
      return binding.type === 'bound' && binding.version === version ? 'went_on' : 'wrong';
    }),
  );
  const count = (what: string): number => results.filter((one) => one === what).length;
  return { wrong: count('wrong'), wentOn: count('went_on'), all: streams.length };
}

const CASES: Readonly<
  Record<string, (fleet: VersionFleet) => (host: FleetHost, i: number) => void>
> = {
  'all are up': () => () => undefined,
  'a third of them is killed': () => (host, i) => {
    if (i % 3 === 1) Object.assign(host, { isUp: false });
  },
  'a third of them is restarted': (fleet) => (host, i) => {
    if (i % 3 === 1) fleet.restart(host);
  },
  'a third of them is cut off from the others': () => (host, i) => {
    if (i % 3 === 1) Object.assign(host, { isCutOff: true });
  },
};

[9, 350].forEach((count) => {
  Object.entries(CASES).forEach(([what, changeIn]) => {
    // Guards against a take-up at a wrong version, and against hosts that refuse most of them.
    test(`of ${count} hosts none goes on with a stream at a wrong version, and most go on, when ${what}`, async () => {
      const fleet = new VersionFleet(count);
      const { wrong, wentOn, all } = await takeUps(fleet, changeIn(fleet));
      assert.equal(wrong, 0);
      assert.ok(wentOn >= all / 2, `${wentOn} of ${all} went on`);
    });
  });

  test(`of ${count} hosts none goes on with a stream at a wrong version beside a third of the earlier program`, async () => {
    const fleet = new VersionFleet(count, Math.ceil(count / 3));
    const { wrong, wentOn, all } = await takeUps(fleet, () => undefined);
    assert.equal(wrong, 0);
    assert.ok(wentOn >= all / 2, `${wentOn} of ${all} went on`);
  });

  test(`of ${count} hosts each refuses what all have forgotten`, async () => {
    const fleet = new VersionFleet(count);
    const { wrong, wentOn } = await takeUps(fleet, (host) => fleet.restart(host));
    assert.deepEqual([wrong, wentOn], [0, 0]);
  });
});
