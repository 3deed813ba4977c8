import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import type { KindCopy, Snapshot, WatchableStore } from '@camphorvane/store';
import { KindFollower } from '@camphorvane/store';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';

const object = (name: string, version: number) => ({ kind: 'k', name, version, value: name });

interface ClosingStore {
  isClosed: boolean;
  /** Whether calls get no response while the store is closed. */
  isSilent: boolean;
  objects: Snapshot;
  /** What cheap reads return, where it is older. */
  stale?: Snapshot;
}

const AWAY = errAsync({ type: 'unavailable', message: 'turned away' });

const NO_RESPONSE = new ResultAsync<never, never>(new Promise(() => {}));

/** A store that serves snapshots until it is closed. */
function asStore(store: ClosingStore): WatchableStore {
  const calls = {
    snapshot: (_kind: string, freshness: 'newest' | 'any') => {
      if (!store.isClosed) {
        return okAsync(freshness === 'any' ? (store.stale ?? store.objects) : store.objects);
      }
      return store.isSilent ? NO_RESPONSE : AWAY;
    },
    watch: () => AWAY,
  };
  return calls as unknown as WatchableStore;
}

class Follower {
  readonly clock = new VirtualClock();

  readonly store: ClosingStore = {
    isClosed: false,
    isSilent: false,
    objects: { objects: [object('key-1', 5), object('key-2', 5)], version: 5 },
  };

  readonly copies: KindCopy[] = [];

  readonly asked: (readonly [number, number])[] = [];

  peerCopy: Snapshot | undefined;

  readonly follower = new KindFollower({
    store: asStore(this.store),
    kind: 'k',
    clock: this.clock,
    random: new RandomSource(1),
    watchMs: 1_000,
    mode: () => 'poll',
    nextPoll: () => ({ waitMs: 2_000, isTurn: false }),
    readFromPeers: async (_kind, wanted, known) => {
      this.asked.push([wanted, known]);
      return this.peerCopy;
    },
    onSync: (copy) => this.copies.push(copy),
  });

  async start(): Promise<void> {
    void this.follower.run(new AbortController().signal);
    await this.clock.advance(10);
    this.store.isClosed = true;
  }

  names(): readonly string[] {
    return [...(this.copies.at(-1)?.objects.keys() ?? [])];
  }
}

// Guards against a host that the store turns away and that goes on accepting a key withdrawn meanwhile.
test('a host that the store turns away gets a newer copy from a peer within a second', async () => {
  const host = new Follower();
  await host.start();
  host.peerCopy = { objects: [object('key-2', 5), object('config', 9)], version: 9 };
  host.follower.receiveVersion(9);
  await host.clock.advance(1_000);
  assert.deepEqual(host.names(), ['key-2', 'config']);
  assert.deepEqual(host.asked[0], [9, 5]);
  assert.equal(host.follower.getLagMs(), 0);
  assert.equal(host.follower.getCopy()?.version, 9);
});

test('an older copy of a peer is ignored, and a newer version of the store replaces that of a peer', async () => {
  const host = new Follower();
  await host.start();
  host.peerCopy = { objects: [object('key-1', 4)], version: 4 };
  host.follower.receiveVersion(9);
  await host.clock.advance(3_000);
  assert.deepEqual(host.names(), ['key-1', 'key-2']);
  assert.ok(host.follower.getLagMs() >= 2_900, 'the host knows that it lags behind');
  host.store.objects = { objects: [object('key-3', 11)], version: 11 };
  host.store.isClosed = false;
  await host.clock.advance(2_000);
  assert.deepEqual(host.names(), ['key-3']);
  assert.equal(host.follower.getLagMs(), 0);
});

// Guards against a host that goes on with an old configuration until its call to a silent store times out.
test('a host to which the store is silent gets a newer copy from a peer within half a second', async () => {
  const host = new Follower();
  await host.start();
  host.store.isSilent = true;
  host.peerCopy = { objects: [object('key-2', 5)], version: 9 };
  host.follower.receiveVersion(9);
  await host.clock.advance(500);
  assert.deepEqual(host.names(), ['key-2']);
  assert.equal(host.follower.getLagMs(), 0);
});

// Guards against a host that goes back to an older copy, and hands it to its peers as the newest one.
test('a stale answer of the store does not replace the newer copy of a peer', async () => {
  const host = new Follower();
  await host.start();
  host.peerCopy = { objects: [object('config', 9)], version: 9 };
  host.follower.receiveVersion(9);
  await host.clock.advance(1_000);
  assert.deepEqual(host.names(), ['config']);
  host.store.objects = { objects: [object('config', 9)], version: 9 };
  host.store.stale = { objects: [object('key-1', 7)], version: 7 };
  host.store.isClosed = false;
  await host.clock.advance(1_400);
  assert.deepEqual(host.names(), ['config']);
  const copy = host.follower.getCopy();
  assert.deepEqual([copy?.version, copy?.objects.map(({ name }) => name)], [9, ['config']]);
});

test('peers are not asked while the store answers or no peer knows a newer version', async () => {
  const host = new Follower();
  await host.start();
  await host.clock.advance(5_000);
  assert.deepEqual(host.asked, []);
});
