import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import {
  CONFIG_KIND,
  ConfigFollower,
  NO_PEERS,
  ROOT_NAME,
  type ConfigPeers,
} from '@camphorvane/store';
import { MemoryObjectStore } from '@camphorvane/stand-ins';
import { advanceUntilSettled } from '../support/advanceUntilSettled.ts';
import { configOf, manyTeams, publish, team } from '../support/publish.ts';

const ACTIVE_WITHIN_MS = 6000;

function setUp(t: TestContext) {
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  const start = (peers: ConfigPeers = NO_PEERS, seed = 1): ConfigFollower => {
    const follower = new ConfigFollower({ store, clock, random: new RandomSource(seed), peers });
    t.after(() => follower.stop());
    follower.start();
    return follower;
  };
  return { clock, store, start };
}

/** Peers that serve the configuration of another host, as the relay between hosts does. */
const relay = (source: ConfigFollower): ConfigPeers => ({
  newestRoot: () => Promise.resolve(source.root()),
  chunk: (digest) => Promise.resolve(source.chunk(digest)),
});

test('an accepted change is active within six seconds and only the changed part is read', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, manyTeams(1000));
  const follower = start();
  await clock.advance(ACTIVE_WITHIN_MS);
  assert.equal(follower.current()?.config.teams.length, 1000);
  const changed = manyTeams(1000).teams.map((entry) =>
    entry.id === 'team-7' ? { ...entry, weight: 3 } : entry,
  );
  const root = await publish(clock, store, configOf(...changed));
  const { reads } = store.calls;
  const seen: number[] = [];
  follower.onChange((config, before) => seen.push(before!.version, config.version));
  await clock.advance(ACTIVE_WITHIN_MS);
  assert.equal(seen.at(-1), root.version);
  assert.equal(follower.current()?.config.teams.find(({ id }) => id === 'team-7')?.weight, 3);
  // Watches of 1.5 s each during six seconds, and one part.
  assert.ok(store.calls.reads - reads <= 6, `${store.calls.reads - reads} reads`);
});

test('a host that starts with very many parts reads them with a few list calls', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, manyTeams(4000));
  const { reads } = store.calls;
  const follower = start();
  await clock.advance(1000);
  assert.equal(follower.current()?.config.teams.length, 4000);
  assert.ok(store.calls.reads - reads <= 18, `${store.calls.reads - reads} reads`);
});

test('a host that starts during an outage gets the configuration from a peer', async (t) => {
  // Hosts store nothing on disk. Without peers, a host replaced during an outage of the platform would
  // know no teams and refuse every caller until the outage ends.
  const { clock, store, start } = setUp(t);
  await publish(clock, store, manyTeams(300));
  const old = start();
  await clock.advance(1000);
  store.setFaults({ down: true });
  const fresh = start(relay(old), 2);
  await clock.advance(1000);
  assert.deepEqual(fresh.current(), old.current());
  assert.equal(fresh.isConfirmed(), false);
  fresh.recordMajorityVersion(old.knownVersion(), clock.now());
  assert.equal(fresh.isConfirmed(), true);
});

test('a host that resumes with an old version does not roll back other hosts', async (t) => {
  // A host is suspended while a key is withdrawn, and during an outage is the peer that another host
  // queries. The withdrawn key must not become active again on a host with the newer version.
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a', ['d1'])));
  const suspended = start();
  await clock.advance(1000);
  await advanceUntilSettled(clock, suspended.stop());
  const host = start(relay(suspended), 2);
  await clock.advance(1000);
  const second = await publish(clock, store, configOf(team('a')));
  await clock.advance(ACTIVE_WITHIN_MS);
  store.setFaults({ down: true });
  await clock.advance(20_000);
  assert.equal(host.current()?.version, second.version);
  assert.deepEqual(host.current()?.config.teams[0]?.keyDigests, []);
});

test('a host partitioned from platform and majority stops trusting its keys within seconds', async (t) => {
  // Only callers still reach the host. A key that is withdrawn meanwhile would otherwise work there
  // until the partition heals.
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a')));
  const host = start();
  await clock.advance(4000);
  assert.equal(host.isConfirmed(), true);
  store.setFaults({ down: true });
  await clock.advance(5001);
  assert.equal(host.isConfirmed(), false);
  store.setFaults({ down: false });
  await clock.advance(ACTIVE_WITHIN_MS);
  assert.equal(host.isConfirmed(), true);
});

test('without changes a healthy platform keeps the version confirmed at all times', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a')));
  const host = start();
  await clock.advance(1000);
  const ages = await Array.from({ length: 100 }).reduce<Promise<readonly number[]>>(
    async (before) => {
      const seen = await before;
      await clock.advance(97);
      return [...seen, clock.now() - host.confirmedAt()!];
    },
    Promise.resolve([]),
  );
  assert.ok(Math.max(...ages) < 3200, `unconfirmed for ${Math.max(...ages)} ms`);
});

test('a newer version known to the majority revokes the confirmation until the host has it', async (t) => {
  // One host loses the connection to the platform and the others do not. It learns from them that a
  // change was accepted, and must stop trusting its keys before it has the change itself.
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a', ['d1'])));
  const informed = start();
  const shown = { isVisible: false };
  const cutOff = new MemoryObjectStore(clock);
  const peers = relay(informed);
  const host = new ConfigFollower({
    store: cutOff,
    clock,
    random: new RandomSource(5),
    peers: {
      newestRoot: async () => (shown.isVisible ? peers.newestRoot() : undefined),
      chunk: peers.chunk,
    },
  });
  t.after(() => host.stop());
  cutOff.setFaults({ down: true });
  shown.isVisible = true;
  host.start();
  await clock.advance(4000);
  shown.isVisible = false;
  const changed = await publish(clock, store, configOf(team('a')));
  await clock.advance(2000);
  host.recordMajorityVersion(changed.version, clock.now());
  await clock.advance(ACTIVE_WITHIN_MS);
  assert.equal(host.isConfirmed(), false);
  shown.isVisible = true;
  await clock.advance(ACTIVE_WITHIN_MS);
  host.recordMajorityVersion(changed.version, clock.now());
  assert.deepEqual([host.current()?.version, host.isConfirmed()], [changed.version, true]);
});

test('a version with an unsupported format stops the confirmation but keeps the old version active', async (t) => {
  // A newer release changes the format of the root while old hosts still run. They can't know which
  // keys it withdraws, so they keep their version and report it as unconfirmed.
  const { clock, store, start } = setUp(t);
  const first = await publish(clock, store, configOf(team('a')));
  const host = start();
  await clock.advance(1000);
  await advanceUntilSettled(clock, store.put(CONFIG_KIND, ROOT_NAME, { format: 2 }, first.version));
  await clock.advance(10_000);
  assert.equal(host.current()?.version, first.version);
  assert.equal(host.isConfirmed(), false);
  assert.match(host.state().problem ?? '', /not understood/);
});

test('a part that was corrupted in transit is rejected', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a')));
  const old = start();
  await clock.advance(1000);
  store.setFaults({ down: true });
  const corrupted = (digest: string) => Promise.resolve(old.chunk(digest)?.replace('1000', '9000'));
  const host = start({ ...relay(old), chunk: corrupted }, 2);
  await clock.advance(ACTIVE_WITHIN_MS);
  assert.equal(host.current(), undefined);
  store.setFaults({ down: false });
  await clock.advance(ACTIVE_WITHIN_MS);
  assert.equal(host.current()?.config.teams[0]?.rate.tokensPerSecond, 1000);
});

test('a slow platform delays a change but does not lose it', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a')));
  const host = start();
  await clock.advance(1000);
  store.setFaults({ delayMs: 1200 });
  const root = await publish(clock, store, configOf(team('a'), team('b')));
  await clock.advance(ACTIVE_WITHIN_MS);
  assert.equal(host.current()?.version, root.version);
});
