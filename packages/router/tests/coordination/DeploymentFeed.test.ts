import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { RandomSource, setFaultListener, VirtualClock } from '@camphorvane/core';
import { SlowStart, UpstreamAdmission } from '@camphorvane/decisions';
import type { DeploymentFormat, ServerRecord } from '@camphorvane/store';
import { ok } from 'neverthrow';
import { DeploymentFeed } from '../../src/coordination/DeploymentFeed.ts';
import { UpstreamDirectory } from '../../src/host/UpstreamDirectory.ts';
import { WatchableMemoryStore } from '../support/WatchableMemoryStore.ts';

const SLOW_START = { forMs: 3_000, requestsPerSecond: 30 };

const FORMAT: DeploymentFormat = {
  configKind: 'config',
  configName: 'main',
  serverKind: 'servers',
  drainedZoneKind: 'drains',
  hostKind: 'hosts',
  leaseKind: 'leases',
  parseConfig: () =>
    ok({
      version: 1,
      teams: [],
      routes: [],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      services: [{ id: 'plain', engines: undefined, slowStart: SLOW_START }],
    }),
  parseServer: ({ name, value }) =>
    ok({
      ...{ id: name, service: 'plain', address: '10.0.0.1:1', slots: 4 },
      ...{ leaving: false, role: undefined, startingMs: 0 },
      ...(value as object),
    } as ServerRecord),
};

const stops: AbortController[] = [];

afterEach(() => stops.splice(0).forEach((stop) => stop.abort()));

class Host {
  readonly clock = new VirtualClock();

  readonly slowStart = new SlowStart(() => 1);

  readonly admission = new UpstreamAdmission(this.slowStart);

  readonly feed: DeploymentFeed;

  stateChanges = 0;

  isWatchedByPeers = false;

  constructor(store: WatchableMemoryStore, drainsZones = true, format = FORMAT) {
    this.slowStart.setBounds(new Map(['s-a', 's-b'].map((id) => [id, SLOW_START])));
    this.feed = new DeploymentFeed({
      ...{ store: store.asStore(), format, clock: this.clock },
      ...{ random: new RandomSource(1), strictKeysMs: undefined, watchMs: 2_000, drainsZones },
      heartbeatMs: 1_200,
      mode: () => 'watch',
      nextPoll: () => ({ waitMs: 2_000, isTurn: false }),
      isWatchedByPeers: () => this.isWatchedByPeers,
      onStateChange: () => {
        this.stateChanges += 1;
      },
      admission: this.admission,
    });
    const stop = new AbortController();
    stops.push(stop);
    this.feed.start(stop.signal);
  }

  async settle(): Promise<void> {
    await this.clock.advance(1);
  }

  servers(): readonly string[] | undefined {
    const config = this.feed.current()?.config;
    if (config === undefined) return undefined;
    const directory = new UpstreamDirectory(
      () => ({}) as never,
      () => ({}) as never,
    );
    directory.reconfigure(config);
    return directory.getService('plain')?.servers.map(({ id }) => id);
  }
}

function deployed(): WatchableMemoryStore {
  const store = new WatchableMemoryStore();
  store.put('config', 'main');
  store.put('servers', 's-a', { zone: 'a' });
  store.put('servers', 's-b', { zone: 'b' });
  return store;
}

test('servers of a zone get no work as long as its drain entry exists', async () => {
  const store = deployed();
  const host = new Host(store);
  await host.settle();
  assert.deepEqual(host.servers(), ['s-a', 's-b']);
  store.put('drains', 'a');
  store.put('drains', 'unknown-zone');
  await host.settle();
  assert.deepEqual(host.servers(), ['s-b']);
  store.put('drains', 'b', 'not an object');
  await host.settle();
  assert.deepEqual(host.servers(), []);
  store.remove('drains', 'a');
  await host.settle();
  assert.deepEqual(host.servers(), ['s-a']);
});

// Guards against a host that starts during a drain and sends to the zone before it has read the drain.
test('a host that has not read the drained zones does not serve', async () => {
  const store = deployed();
  store.put('drains', 'a');
  const host = new Host(store);
  store.isUnavailable = true;
  host.feed.receiveDrainedZones({ version: 0, zones: [] });
  assert.equal(host.servers(), undefined);
  store.isUnavailable = false;
  await host.clock.advance(1_000);
  assert.deepEqual(host.servers(), ['s-b']);
});

// Guards against a host that can't read the store and goes on sending to a drained zone.
test('newer drained zones from a peer are applied, older ones are not', async () => {
  const store = deployed();
  const host = new Host(store);
  await host.settle();
  const { stateChanges } = host;
  host.feed.receiveDrainedZones({ version: store.version + 5, zones: ['a'] });
  assert.deepEqual(host.servers(), ['s-b']);
  assert.equal(host.stateChanges, stateChanges + 1);
  host.feed.receiveDrainedZones({ version: store.version + 4, zones: [] });
  assert.deepEqual(host.servers(), ['s-b']);
  host.feed.receiveDrainedZones({ version: store.version + 6, zones: [] });
  assert.deepEqual(host.servers(), ['s-a', 's-b']);
});

test('drained zones are not read where draining is disabled', async () => {
  const store = deployed();
  store.put('drains', 'a');
  const host = new Host(store, false);
  await host.settle();
  assert.deepEqual(host.servers(), ['s-a', 's-b']);
});

// Guards against a host that serves withdrawn keys for as long as neither store nor peers give it the configuration.
test('a host that could not get a newer configuration for long counts as outdated', async () => {
  const store = deployed();
  const host = new Host(store);
  await host.settle();
  host.feed.receiveVersions({ config: store.version + 5, servers: store.version });
  await host.clock.advance(1_500);
  assert.equal(host.feed.isOutdated(), false);
  await host.clock.advance(500);
  assert.equal(host.feed.isOutdated(), true);
  store.put('config', 'main');
  Array.from({ length: 5 }).forEach(() => store.put('servers', 's-a', { zone: 'a' }));
  await host.clock.advance(2_500);
  assert.equal(host.feed.isOutdated(), false);
});

// Guards against a host that takes the servers it knows for all there are, while others have read of new ones.
test('the list of servers is current while the store responds and peers know no newer one', async () => {
  const store = deployed();
  const host = new Host(store);
  assert.equal(host.feed.isListCurrent(), false);
  await host.settle();
  assert.equal(host.feed.isListCurrent(), true);
  await host.clock.advance(4_500);
  assert.equal(host.feed.isListCurrent(), false, 'a watch has ended without a response');
  host.isWatchedByPeers = true;
  assert.equal(
    host.feed.isListCurrent(),
    true,
    'peers that watch the store would have told a change',
  );
  store.put('servers', 's-a', { zone: 'a' });
  await host.settle();
  assert.equal(host.feed.isListCurrent(), true);
  host.feed.receiveVersions({ config: store.version, servers: store.version + 5 });
  await host.settle();
  assert.equal(host.feed.isListCurrent(), false);
});

// Guards against full load on a restored zone whose servers have restarted and whose entries are stale.
test('slow start applies to the servers of a restored zone', async () => {
  const store = deployed();
  const host = new Host(store);
  await host.settle();
  store.put('drains', 'a');
  await host.settle();
  store.remove('drains', 'a');
  await host.settle();
  const now = host.clock.now();
  assert.deepEqual(host.servers(), ['s-a', 's-b']);
  assert.equal(host.slowStart.allowance('s-a', now), 1);
  assert.equal(host.slowStart.allowance('s-b', now), Infinity);
  assert.equal(host.slowStart.allowance('s-a', now + SLOW_START.forMs), Infinity);
});

test('slow start applies to a server for the starting time in its entry', async () => {
  const store = deployed();
  const host = new Host(store);
  await host.settle();
  const before = host.feed.current();
  store.put('servers', 's-b', { zone: 'b', startingMs: 1_500 });
  await host.settle();
  const now = host.clock.now();
  assert.equal(host.slowStart.allowance('s-b', now), 1);
  assert.equal(host.slowStart.allowance('s-b', now + 1_500), Infinity);
  assert.equal(host.feed.current(), before, 'the routing changed with a heartbeat');
});

// Guards against a server that gets no requests because the process before it, of the same name, was leaving.
test('what a server has asked for ends when another process starts under its name', async () => {
  const store = deployed();
  const host = new Host(store);
  const leaving = { requestsPerSecond: 1, endsLimit: false, leaving: true, restMs: 9_000 };
  store.put('servers', 's-b', { zone: 'b', bornAt: 1 });
  await host.settle();
  host.admission.constraints.record('s-b', leaving, host.clock.now());
  store.put('servers', 's-b', { zone: 'b', bornAt: 1, slots: 5 });
  await host.settle();
  assert.equal(host.admission.allowance('s-b', host.clock.now()), 0);
  store.put('servers', 's-b', { zone: 'b', bornAt: 2 });
  await host.settle();
  assert.equal(host.admission.allowance('s-b', host.clock.now()), Infinity);
});

// Guards against one entry whose reader throws: it must neither end the process nor hide the entries beside it.
test('an entry whose reader throws is left out, and the others hold', async () => {
  const faults: string[] = [];
  setFaultListener((place) => faults.push(place));
  const spoiled = (): never => {
    throw new TypeError('Invalid URL');
  };
  const store = deployed();
  let isConfigSpoiled = false;
  const host = new Host(store, false, {
    ...FORMAT,
    parseServer: (object) => (object.name === 's-a' ? spoiled() : FORMAT.parseServer(object)),
    parseConfig: (object) => (isConfigSpoiled ? spoiled() : FORMAT.parseConfig(object)),
  });
  await host.settle();
  assert.deepEqual(host.servers(), ['s-b']);
  isConfigSpoiled = true;
  store.put('config', 'main');
  await host.settle();
  store.put('servers', 's-c', { zone: 'a' });
  await host.settle();
  setFaultListener(undefined);
  assert.deepEqual(host.servers(), ['s-b', 's-c']);
  assert.deepEqual(faults, ['deployment.server', 'deployment.config']);
});

// Guards against a part of the host that throws over a configuration, so that the others don't get it.
test('a listener that throws keeps the configuration from no other one', async () => {
  const faults: string[] = [];
  setFaultListener((place) => faults.push(place));
  const host = new Host(deployed(), false);
  const versions: number[] = [];
  host.feed.onChange(() => {
    throw new Error('spoiled');
  });
  host.feed.onChange(({ version }) => versions.push(version));
  await host.settle();
  setFaultListener(undefined);
  assert.deepEqual(versions, [1]);
  assert.deepEqual(faults, ['deployment.listener']);
});
