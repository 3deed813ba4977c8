import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis, RoutingConfig } from '@camphorvane/core';
import { VirtualClock } from '@camphorvane/core';
import { Metrics } from '@camphorvane/router';
import { UpstreamDirectory } from '../../src/host/UpstreamDirectory.ts';
import { ReachMonitor } from '../../src/reach/ReachMonitor.ts';
import type { ReachChange } from '../../src/reach/ReachMonitor.ts';

const SERVERS = ['s1', 's2', 's3', 's4'];

const CONFIG = {
  ...{ teams: [], pools: [], waitRules: [] },
  services: [
    {
      ...{ id: 'plain', timeoutMs: 1_000, routes: [] },
      servers: SERVERS.map((id) => ({ id, url: `http://${id}`, zone: 'a', maxConcurrent: 4 })),
    },
  ],
} as RoutingConfig;

/** How the links of the host treat a new connection. */
type LinkState = 'sound' | 'refusing' | 'hanging';

const CONNECT_MS: Millis = 2;
const CONNECT_TIMEOUT_MS: Millis = 400;

class World {
  readonly clock = new VirtualClock();

  readonly metrics = new Metrics();

  readonly changes: (ReachChange & { readonly at: Millis })[] = [];

  /** State of the link to each server; sound if absent. */
  readonly links = new Map<string, LinkState>();

  probes = 0;

  readonly monitor: ReachMonitor;

  constructor() {
    const { clock, metrics } = this;
    const directory = new UpstreamDirectory(fail, (cfg) => ({ id: cfg.id, call: fail }));
    const probe = (url: string, timeoutMs: Millis): Promise<boolean> => {
      this.probes += 1;
      return this.connect(new URL(url).hostname, timeoutMs);
    };
    directory.reconfigure(CONFIG);
    this.monitor = new ReachMonitor({ clock, directory, metrics, probe });
    this.monitor.refresh();
    this.monitor.onChange((change) => this.changes.push({ ...change, at: clock.now() }));
  }

  setLinks(state: LinkState): void {
    SERVERS.forEach((id) => this.links.set(id, state));
  }

  /** Attempts a connection as a client does; returns how it ended, and after how long. */
  async call(id: string): Promise<{ readonly end: string; readonly tookMs: Millis }> {
    const startedAt = this.clock.now();
    let giveUp = (): void => undefined;
    const givenUp = new Promise<boolean>((resolve) => {
      giveUp = () => resolve(false);
    });
    const attempt = this.monitor.begin(id, giveUp);
    const isConnected = await Promise.race([givenUp, this.connect(id, CONNECT_TIMEOUT_MS)]);
    attempt[isConnected ? 'connected' : 'failed']();
    const end = isConnected ? 'connected' : 'failed';
    return { end, tookMs: this.clock.now() - startedAt };
  }

  private connect(id: string, timeoutMs: Millis): Promise<boolean> {
    const state = this.links.get(id) ?? 'sound';
    const tookMs = state === 'hanging' ? timeoutMs : CONNECT_MS;
    return new Promise((resolve) => {
      this.clock.after(tookMs, () => resolve(state === 'sound'));
    });
  }
}

function fail(): never {
  throw new Error('not used here');
}

// Guards against hosts that take seconds to notice that their links are gone, or never do.
(['refusing', 'hanging'] as const).forEach((state) =>
  test(`a host finds out within 300 ms that its links are ${state}, and as soon that they are back`, async () => {
    const world = new World();
    world.setLinks(state);
    const call = world.call('s1');
    await world.clock.advance(CONNECT_TIMEOUT_MS);
    assert.equal((await call).end, 'failed');
    assert.equal(world.changes.length, 1);
    assert.ok((world.changes[0]?.at ?? Infinity) < 300);
    assert.deepEqual(world.monitor.getReport()?.unreached, ['plain']);
    await world.clock.advance(5_000);
    world.setLinks('sound');
    await world.clock.advance(300);
    assert.equal(world.monitor.isDoubtful('plain'), false);
    assert.equal(world.changes.at(-1)?.route, 'direct');
    const { probes } = world;
    await world.clock.advance(5_000);
    assert.equal(world.probes, probes);
  }),
);

// Guards against requests that wait for the timeout of a connection that leads nowhere.
test('connections that hang are given up once a peer can serve their requests', async () => {
  const world = new World();
  const { clock, monitor } = world;
  monitor.setPeers(() => [{ host: 'p', zone: 'a', peerAddress: 'p:1' }]);
  monitor.peers.receive('p', { contacts: [], unreached: [] }, 60_000, 0);
  world.setLinks('hanging');
  const call = world.call('s1');
  await clock.advance(CONNECT_TIMEOUT_MS);
  const { tookMs } = await call;
  assert.ok(tookMs < 300, `${tookMs} ms`);
  assert.equal(monitor.getRoute('plain'), 'relayed');
  assert.equal(monitor.refusalFor('plain')?.code, 'upstreams_unreachable');
});

// Guards against links that are doubted since one server is silent for a second.
test('a server that is silent by itself shows nothing of the links', async () => {
  const world = new World();
  world.links.set('s1', 'hanging');
  const calls = [world.call('s1'), world.call('s1')];
  await world.clock.advance(1_000);
  await Promise.all(calls);
  assert.deepEqual(world.changes, []);
  assert.ok(world.probes <= 8, `${world.probes} probes`);
});

// Guards against hosts that find their links lost and back again all the time while engines crash in turn.
test('servers that go down in turn and are tried again show nothing of the links', async () => {
  const world = new World();
  await ['s1', 's2', 's3'].reduce(async (before, id, n, ids) => {
    await before;
    world.links.set(id, 'refusing');
    const calls = ids.slice(0, n + 1).map((down) => world.call(down));
    await world.clock.advance(500);
    await Promise.all(calls);
  }, Promise.resolve());
  [0, 300, 600, 900].forEach((afterMs) =>
    world.clock.after(afterMs, () => ['s1', 's2', 's3'].forEach((id) => world.call(id))),
  );
  await world.clock.advance(3_000);
  assert.deepEqual(world.changes, []);
  world.setLinks('refusing');
  void world.call('s4');
  await world.clock.advance(300);
  assert.equal(world.changes.length, 1);
});

// Guards against callers that wait for upstreams which no host reaches, and against refusals before that is certain.
test('requests are refused once no host has reached the upstreams for a while', async () => {
  const world = new World();
  world.setLinks('refusing');
  void world.call('s1');
  await world.clock.advance(1_000);
  assert.equal(world.monitor.refusalFor('plain'), undefined);
  await world.clock.advance(1_000);
  assert.equal(world.monitor.getRoute('plain'), 'none');
  assert.equal(world.monitor.refusalFor('plain')?.retryAfterMs, 1_000);
  assert.equal(world.monitor.isCutOff(), false);
});

// Guards against cold upstreams that get full load since a host takes their restart for its own lost links.
test('links count as lost only where other hosts reached the upstreams meanwhile', async () => {
  const world = new World();
  const { clock, monitor } = world;
  world.setLinks('refusing');
  void world.call('s1');
  await clock.advance(1_000);
  world.setLinks('sound');
  await clock.advance(500);
  assert.equal(world.changes.at(-1)?.linksBackSince, undefined);
  world.setLinks('refusing');
  void world.call('s1');
  await clock.advance(1_000);
  const contacts = [{ service: 'plain', ageMs: 100 }];
  monitor.peers.receive('p', { contacts, unreached: [] }, 60_000, clock.now());
  assert.equal(monitor.isCutOff(), true);
  world.setLinks('sound');
  await clock.advance(500);
  assert.equal(world.changes.at(-1)?.linksBackSince, 1_500);
});

test('a gauge counts the services by the way to them', async () => {
  const world = new World();
  world.setLinks('refusing');
  void world.call('s1');
  await world.clock.advance(3_000);
  const text = await world.metrics.getPrometheusText();
  assert.match(text, /reach_services\{route="none"\} 1/);
  assert.match(text, /reach_services\{route="direct"\} 0/);
});
