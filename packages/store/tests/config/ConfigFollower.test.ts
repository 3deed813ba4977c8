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
import { drive } from '../support/drive.ts';
import { configOf, manyTeams, publish, team } from '../support/publish.ts';

const IN_FORCE_MS = 6000;

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

/** Lets a host get its configuration from another one, as the relay between hosts does. */
const relay = (source: ConfigFollower): ConfigPeers => ({
  newestRoot: () => Promise.resolve(source.root()),
  chunk: (digest) => Promise.resolve(source.chunk(digest)),
});

test('an accepted change is in force within six seconds, at the price of the changed part', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, manyTeams(1000));
  const follower = start();
  await clock.advance(IN_FORCE_MS);
  assert.equal(follower.current()?.config.teams.length, 1000);
  const changed = manyTeams(1000).teams.map((entry) =>
    entry.id === 'team-7' ? { ...entry, weight: 3 } : entry,
  );
  const root = await publish(clock, store, configOf(...changed));
  const { reads } = store.calls;
  const seen: number[] = [];
  follower.onChange((config, before) => seen.push(before!.version, config.version));
  await clock.advance(IN_FORCE_MS);
  assert.equal(seen.at(-1), root.version);
  assert.equal(follower.current()?.config.teams.find(({ id }) => id === 'team-7')?.weight, 3);
  // Six seconds of watches that wait 1.5 s, and one part.
  assert.ok(store.calls.reads - reads <= 6, `${store.calls.reads - reads} reads`);
});

test('a host that starts with very many parts reads them by a few lists', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, manyTeams(4000));
  const { reads } = store.calls;
  const follower = start();
  await clock.advance(1000);
  assert.equal(follower.current()?.config.teams.length, 4000);
  assert.ok(store.calls.reads - reads <= 18, `${store.calls.reads - reads} reads`);
});

test('a host that starts during an outage takes the configuration from a peer', async (t) => {
  // Hosts keep nothing on disk. One that is replaced while the platform is down would know no team
  // at all, and refuse every caller until the platform is back.
  const { clock, store, start } = setUp(t);
  await publish(clock, store, manyTeams(300));
  const old = start();
  await clock.advance(1000);
  store.setFaults({ down: true });
  const fresh = start(relay(old), 2);
  await clock.advance(1000);
  assert.deepEqual(fresh.current(), old.current());
  assert.equal(fresh.isConfirmed(), false);
  fresh.noteMajorityConfirmed(old.knownVersion(), clock.now());
  assert.equal(fresh.isConfirmed(), true);
});

test('a host that wakes with an old version does not bring it back anywhere', async (t) => {
  // A host sleeps while a key is withdrawn, wakes during an outage and is the first that a restarted
  // host asks. The withdrawn key must not come to life at hosts that know better.
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a', ['d1'])));
  const asleep = start();
  await clock.advance(1000);
  await drive(clock, asleep.stop());
  const host = start(relay(asleep), 2);
  await clock.advance(1000);
  const second = await publish(clock, store, configOf(team('a')));
  await clock.advance(IN_FORCE_MS);
  store.setFaults({ down: true });
  await clock.advance(20_000);
  assert.equal(host.current()?.version, second.version);
  assert.deepEqual(host.current()?.config.teams[0]?.keyDigests, []);
});

test('a host that is cut off from platform and majority stops relying on its keys in seconds', async (t) => {
  // The host still reaches its callers and nobody else. A key that is withdrawn meanwhile would go
  // on working there for as long as the cut lasts.
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a')));
  const host = start();
  await clock.advance(4000);
  assert.equal(host.isConfirmed(), true);
  store.setFaults({ down: true });
  await clock.advance(5001);
  assert.equal(host.isConfirmed(), false);
  store.setFaults({ down: false });
  await clock.advance(IN_FORCE_MS);
  assert.equal(host.isConfirmed(), true);
});

test('without changes a healthy platform keeps the version confirmed at every moment', async (t) => {
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

test('a majority that has heard of a newer version unsettles the host until it has that version', async (t) => {
  // One host loses its path to the platform while the others do not. It learns from them that a
  // change was accepted, and has to stop trusting its keys before it has the change itself.
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
  host.noteMajorityConfirmed(changed.version, clock.now());
  await clock.advance(IN_FORCE_MS);
  assert.equal(host.isConfirmed(), false);
  shown.isVisible = true;
  await clock.advance(IN_FORCE_MS);
  host.noteMajorityConfirmed(changed.version, clock.now());
  assert.deepEqual([host.current()?.version, host.isConfirmed()], [changed.version, true]);
});

test('a version that this program does not understand stops confirmation, not service of the old one', async (t) => {
  // A newer program has changed the form of the root while old hosts still run. They can't know
  // which keys it withdraws, so they keep what they have and say that it is unconfirmed.
  const { clock, store, start } = setUp(t);
  const first = await publish(clock, store, configOf(team('a')));
  const host = start();
  await clock.advance(1000);
  await drive(clock, store.put(CONFIG_KIND, ROOT_NAME, { format: 2 }, first.version));
  await clock.advance(10_000);
  assert.equal(host.current()?.version, first.version);
  assert.equal(host.isConfirmed(), false);
  assert.match(host.state().problem ?? '', /not understood/);
});

test('a part that was damaged on the way is not taken', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a')));
  const old = start();
  await clock.advance(1000);
  store.setFaults({ down: true });
  const damaged = (digest: string) => Promise.resolve(old.chunk(digest)?.replace('1000', '9000'));
  const host = start({ ...relay(old), chunk: damaged }, 2);
  await clock.advance(IN_FORCE_MS);
  assert.equal(host.current(), undefined);
  store.setFaults({ down: false });
  await clock.advance(IN_FORCE_MS);
  assert.equal(host.current()?.config.teams[0]?.rate.tokensPerSecond, 1000);
});

test('a slow platform delays a change and loses none', async (t) => {
  const { clock, store, start } = setUp(t);
  await publish(clock, store, configOf(team('a')));
  const host = start();
  await clock.advance(1000);
  store.setFaults({ delayMs: 1200 });
  const root = await publish(clock, store, configOf(team('a'), team('b')));
  await clock.advance(IN_FORCE_MS);
  assert.equal(host.current()?.version, root.version);
});
