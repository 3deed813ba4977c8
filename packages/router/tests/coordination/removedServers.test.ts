import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import { SlowStart, UpstreamAdmission } from '@camphorvane/decisions';
import type {
  DeploymentFormat,
  FollowMode,
  PlatformError,
  ServerRecord,
  Snapshot,
} from '@camphorvane/store';
import { ok } from 'neverthrow';
import { DeploymentFeed } from '../../src/coordination/DeploymentFeed.ts';
import { FaultyStore } from '../support/FaultyStore.ts';
import type { CallFault } from '../support/FaultyStore.ts';

/** For how long a server that leaves takes requests. */
const DRAIN_MS: Millis = 2_000;

/** Time after which a host with silent connections counts as undisturbed again. */
const STABLE_WINDOW_MS: Millis = 3_000;

const STEP_MS: Millis = 50;

const HEARTBEAT_MS: Millis = 1_200;

const FORMAT: DeploymentFormat = {
  ...{ configKind: 'config', configName: 'main', serverKind: 'servers' },
  ...{ drainedZoneKind: 'drains', hostKind: 'hosts', leaseKind: 'leases' },
  parseConfig: () =>
    ok({
      ...{ version: 1, teams: [], routes: [] },
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      services: [{ id: 'plain', engines: undefined, slowStart: undefined }],
    }),
  parseServer: ({ name }) =>
    ok({
      ...{ id: name, service: 'plain', address: '10.0.0.1:1', zone: 'a', slots: 4 },
      ...{ leaving: false, role: undefined, startingMs: 0 },
    } as ServerRecord),
};

const SERVERS = ['s-a', 's-b', 's-c'];

const stops: AbortController[] = [];

afterEach(() => stops.splice(0).forEach((stop) => stop.abort()));

class Host {
  private readonly followMode: FollowMode;

  readonly clock = new VirtualClock();

  readonly store = new FaultyStore(this.clock);

  /** What peers give as their copy of the servers. */
  peerCopy: Snapshot | undefined;

  readonly feed = new DeploymentFeed({
    ...{ store: this.store.asStore(), format: FORMAT, clock: this.clock },
    ...{ random: new RandomSource(1), strictKeysMs: undefined, watchMs: 1_800 },
    ...{ drainsZones: false, heartbeatMs: HEARTBEAT_MS },
    mode: () => this.followMode,
    nextPoll: () => ({ waitMs: 2_000, isTurn: false }),
    readFromPeers: async (kind) => (kind === 'servers' ? this.peerCopy : undefined),
    onStateChange: () => undefined,
    admission: new UpstreamAdmission(new SlowStart(() => 1)),
  });

  constructor(followMode: FollowMode = 'watch') {
    this.followMode = followMode;
    this.store.put('config', 'main');
    SERVERS.forEach((id) => this.store.put('servers', id));
    const stop = new AbortController();
    stops.push(stop);
    this.feed.start(stop.signal);
  }

  uses(id: string): boolean {
    const services = this.feed.current()?.config.services ?? [];
    return services.some(({ servers }) => servers.some((server) => server.id === id));
  }

  countUsed(): number {
    return SERVERS.filter((id) => this.uses(id)).length;
  }

  /** Gets the times in a span at which a condition holds. */
  async timesOf(ms: Millis, holds: () => boolean): Promise<readonly Millis[]> {
    const times: Millis[] = [];
    const until = this.clock.now() + ms;
    while (this.clock.now() < until) {
      await this.clock.advance(STEP_MS);
      if (holds()) times.push(this.clock.now());
    }
    return times;
  }
}

const REFUSED: PlatformError = { type: 'unavailable', message: 'status 503', hasResponded: true };

const CLOSED: PlatformError = { type: 'unavailable', message: 'other side closed' };

const FAULTS: Readonly<Record<string, CallFault>> = {
  'refused for their rate': {
    type: 'refused',
    error: { type: 'over_budget', retryAfterMs: 1_000 },
  },
  'turned away': { type: 'refused', error: REFUSED },
  'closed without a response': { type: 'refused', error: CLOSED },
  late: { type: 'late' },
};

// Guards against requests to a server that was removed while the connections to the store were silent, where the calls that
// followed failed as well, and the server passed for one whose entry had expired in an outage.
Object.entries(FAULTS).forEach(([name, fault]) =>
  test(`a removed server gets no work where the next calls after a silent connection are ${name}`, async () => {
    const offsets = [100, 450, 800, 1_150, 1_500, 1_750];
    const late = await Promise.all(
      offsets.map(async (offset) => {
        const host = new Host();
        await host.clock.advance(1_800 + offset);
        const silentAt = host.clock.now();
        host.store.silence();
        host.store.failNext('servers', fault.type === 'late' ? 1 : 3, fault);
        await host.clock.advance(100);
        const removedAt = host.clock.now();
        host.store.remove('servers', 's-a');
        const used = await host.timesOf(7_000, () => host.uses('s-a'));
        assert.equal(host.countUsed(), 2);
        return used.filter((at) => at > removedAt + DRAIN_MS && at > silentAt + STABLE_WINDOW_MS);
      }),
    );
    assert.deepEqual(late.flat(), []);
  }),
);

// Guards against a polling host that has read a list without a server, and takes its own failed polls for an outage in which
// the entry has expired.
test('a removed server gets no work at a polling host once it has read the list', async () => {
  const host = new Host('poll');
  await host.clock.advance(1_000);
  host.store.failNext('servers', 2, { type: 'refused', error: REFUSED });
  host.store.remove('servers', 's-a');
  const used = await host.timesOf(5_900, () => host.uses('s-a'));
  assert.ok(used.length > 0, 'it reads no list before');
  await host.clock.advance(300);
  assert.equal(host.uses('s-a'), false);
  assert.equal(host.countUsed(), 2);
});

// Guards against hosts that refuse every caller after an outage, as the entries of all servers have expired meanwhile.
(['silent', 'refused'] as const).forEach((outage) =>
  test(`entries that expired in an outage with ${outage} calls leave no host without servers`, async () => {
    const host = new Host();
    await host.clock.advance(2_000);
    host.store.outage = outage;
    await host.clock.advance(8_000);
    SERVERS.forEach((id) => host.store.remove('servers', id));
    host.store.outage = 'none';
    const without = await host.timesOf(1_900, () => host.countUsed() === 0);
    assert.deepEqual(without, []);
    SERVERS.forEach((id) => host.store.put('servers', id));
    await host.clock.advance(1_000);
    assert.equal(host.countUsed(), 3);
  }),
);

// Guards against hosts without servers that take over a copy which a peer has read just after an outage of the store.
test('entries that a peer read as expired leave no host without servers', async () => {
  const host = new Host();
  await host.clock.advance(2_000);
  host.store.outage = 'refused';
  await host.clock.advance(8_000);
  const version = host.store.version + 3;
  host.peerCopy = { objects: [], version };
  host.feed.receiveContact('peer', { answeredMsAgo: 10, steadyMs: 20 });
  host.feed.receiveVersions({ config: 0, servers: version });
  const without = await host.timesOf(1_500, () => host.countUsed() === 0);
  assert.deepEqual(without, []);
});

// Guards against a host cut off from the store that goes on with a server which its peers have read to be removed.
test('a server that a peer read as removed while the store served it gets no work', async () => {
  const host = new Host();
  await host.clock.advance(2_000);
  host.store.outage = 'refused';
  await host.clock.advance(8_000);
  const copied = SERVERS.slice(1).map((name) => ({ kind: 'servers', name, version: 1, value: {} }));
  const version = host.store.version + 1;
  host.peerCopy = { objects: copied, version };
  host.feed.receiveContact('peer', { answeredMsAgo: 10, steadyMs: 60_000 });
  host.feed.receiveVersions({ config: 0, servers: version });
  await host.clock.advance(500);
  assert.equal(host.uses('s-a'), false);
  assert.equal(host.countUsed(), 2);
});
