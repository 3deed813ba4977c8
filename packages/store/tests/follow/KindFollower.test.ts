import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource, setFaultListener, VirtualClock } from '@camphorvane/core';
import type { KindCopy, PlatformError, WatchBatch, WatchableStore } from '@camphorvane/store';
import { KindFollower, StoreContact } from '@camphorvane/store';
import { err, errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';

type Step =
  | { readonly type: 'snapshot'; readonly names: readonly string[]; readonly version: number }
  | { readonly type: 'watch'; readonly put?: string; readonly gone?: string; readonly next: number }
  | { readonly type: 'hang' }
  | { readonly type: 'fail'; readonly error: PlatformError };

const AWAY: PlatformError = { type: 'unavailable', message: 'away' };

const object = (name: string, version: number) => ({ kind: 'k', name, version, value: name });

/** A store that responds to each call by the next step of a list; further watches never return. */
function scriptedStore(steps: Step[]): {
  readonly store: WatchableStore;
  readonly calls: string[];
} {
  const calls: string[] = [];
  const hang = new ResultAsync<WatchBatch, PlatformError>(
    new Promise<Result<WatchBatch, PlatformError>>(() => {}),
  );
  const store = {
    snapshot: (_kind: string, freshness: string) => {
      calls.push(freshness === 'any' ? 'cheap snapshot' : 'snapshot');
      const step = steps.shift();
      if (step?.type !== 'snapshot') return errAsync(step?.type === 'fail' ? step.error : AWAY);
      const { names, version } = step;
      return okAsync({ objects: names.map((name) => object(name, version)), version });
    },
    watch: (_kind: string, after: number, _waitMs: number, signal: AbortSignal) => {
      calls.push(`watch ${after}`);
      const step = steps.shift();
      if (step?.type === 'hang') return untilAborted(signal);
      if (step === undefined) return hang;
      if (step.type !== 'watch') return errAsync(step.type === 'fail' ? step.error : AWAY);
      const put = step.put === undefined ? [] : [object(step.put, step.next)];
      const gone = step.gone === undefined ? [] : [step.gone];
      return okAsync({
        events: [
          ...put.map((one) => ({ type: 'put' as const, object: one })),
          ...gone.map((name) => ({
            type: 'removed' as const,
            kind: 'k',
            name,
            version: step.next,
          })),
        ],
        next: step.next,
      });
    },
  };
  return { store: store as unknown as WatchableStore, calls };
}

function untilAborted(signal: AbortSignal): ResultAsync<WatchBatch, PlatformError> {
  return new ResultAsync(
    new Promise<Result<WatchBatch, PlatformError>>((resolve) => {
      signal.addEventListener('abort', () => resolve(err(AWAY)), { once: true });
    }),
  );
}

/** A copy, with the milliseconds since the one before for which calls to the store have failed. */
interface Round extends KindCopy {
  readonly outageMs: number;
}

async function follow(steps: Step[]): Promise<{
  readonly rounds: readonly Round[];
  readonly calls: readonly string[];
  readonly states: readonly string[];
}> {
  const { store, calls } = scriptedStore(steps);
  const clock = new VirtualClock();
  const contact = new StoreContact(clock.now(), 2_100);
  const rounds: Round[] = [];
  let readAt = clock.now();
  const states: string[] = [];
  const stop = new AbortController();
  const follower = new KindFollower({
    store,
    kind: 'k',
    clock,
    random: new RandomSource(1),
    watchMs: 1_000,
    contact,
    onSync: (round) => {
      const now = clock.now();
      const outage = contact.getOutage({ from: readAt, until: now }, now);
      rounds.push({ ...round, outageMs: outage?.shownMs ?? 0 });
      readAt = now;
    },
    onStoreState: (state) => states.push(state),
  });
  void follower.run(stop.signal);
  await clock.advance(5_000);
  stop.abort();
  return { rounds, calls, states };
}

const namesOf = (round: KindCopy | undefined): readonly string[] => [
  ...(round?.objects.keys() ?? []),
];

test('changes after the snapshot are applied', async () => {
  const { rounds, calls } = await follow([
    { type: 'snapshot', names: ['a', 'b'], version: 5 },
    { type: 'watch', put: 'c', gone: 'a', next: 7 },
  ]);
  assert.deepEqual(namesOf(rounds.at(-1)), ['b', 'c']);
  assert.deepEqual(calls, ['cheap snapshot', 'watch 5', 'watch 7']);
});

// The store drops its history while a server leaves. A follower that kept its stale copy would send
// requests to that server until the next change.
test('lost history leads to a new snapshot at once', async () => {
  const { rounds, states } = await follow([
    { type: 'snapshot', names: ['a', 'b'], version: 5 },
    { type: 'fail', error: { type: 'invalid', message: 'the store answered 410' } },
    { type: 'snapshot', names: ['b'], version: 9 },
  ]);
  assert.deepEqual(namesOf(rounds.at(-1)), ['b']);
  assert.equal(rounds.at(-1)?.outageMs, 0);
  assert.deepEqual(states, []);
});

test('an outage is reported with its duration and ends with a snapshot', async () => {
  const { rounds, states } = await follow([
    { type: 'snapshot', names: ['a'], version: 5 },
    { type: 'fail', error: AWAY },
    { type: 'fail', error: AWAY },
    { type: 'snapshot', names: ['a'], version: 6 },
  ]);
  assert.deepEqual(states, ['lost', 'regained']);
  assert.ok((rounds.at(-1)?.outageMs ?? 0) > 0);
});

// Guards against entries that were removed on purpose and are kept as expired, since a watch lost its connection.
test('a call that is lost with its connection is no outage', async () => {
  const { rounds, states } = await follow([
    { type: 'snapshot', names: ['a', 'b'], version: 5 },
    { type: 'fail', error: AWAY },
    { type: 'snapshot', names: ['b'], version: 6 },
    { type: 'fail', error: AWAY },
    { type: 'snapshot', names: ['b'], version: 7 },
  ]);
  assert.deepEqual(
    rounds.map(({ outageMs }) => outageMs),
    [0, 0, 0],
  );
  assert.deepEqual(states, ['lost', 'regained', 'lost', 'regained']);
});

// Guards against hosts without servers after an outage in which the store has turned calls away.
test('a store that turns a call away is in an outage', async () => {
  const error: PlatformError = { type: 'unavailable', message: 'status 503', hasResponded: true };
  const { rounds } = await follow([
    { type: 'snapshot', names: ['a', 'b'], version: 5 },
    { type: 'fail', error },
    { type: 'snapshot', names: ['b'], version: 6 },
  ]);
  assert.ok((rounds.at(-1)?.outageMs ?? 0) > 0);
});

// Guards against entries that were removed on purpose and are kept as expired, since calls were refused for their rate.
test('a store that refuses calls for their rate is at work', async () => {
  const error: PlatformError = { type: 'over_budget', retryAfterMs: 100 };
  const { rounds, states } = await follow([
    { type: 'snapshot', names: ['a', 'b'], version: 5 },
    { type: 'fail', error: AWAY },
    { type: 'fail', error },
    { type: 'fail', error },
    { type: 'snapshot', names: ['b'], version: 6 },
  ]);
  assert.deepEqual(
    rounds.map(({ outageMs }) => outageMs),
    [0, 0],
  );
  assert.deepEqual(states, ['lost', 'regained']);
});

// The connection of a watch dies while a server leaves. A peer whose watch works reports the newer
// version; waiting for the watch to time out would send requests to that server meanwhile.
test('a watch that lags behind a version reported by a peer is replaced by a new snapshot', async () => {
  const { store } = scriptedStore([
    { type: 'snapshot', names: ['a', 'b'], version: 5 },
    { type: 'hang' },
    { type: 'snapshot', names: ['b'], version: 9 },
  ]);
  const clock = new VirtualClock();
  const rounds: KindCopy[] = [];
  const stop = new AbortController();
  const follower = new KindFollower({
    store,
    kind: 'k',
    clock,
    random: new RandomSource(1),
    watchMs: 60_000,
    onSync: (round) => rounds.push(round),
  });
  void follower.run(stop.signal);
  await clock.advance(1_000);
  assert.deepEqual(namesOf(rounds.at(-1)), ['a', 'b']);
  follower.receiveVersion(8);
  await clock.advance(1_000);
  stop.abort();
  assert.deepEqual(namesOf(rounds.at(-1)), ['b']);
});

// A peer reports a version between two watches, and the connection of the next watch is dead. The peer
// repeats the version several times a second, but a known version triggers nothing: requests would go
// to a leaving server until the watch times out.
test('a version reported between two watches applies to the next watch', async () => {
  const { store } = scriptedStore([
    { type: 'snapshot', names: ['a', 'b'], version: 5 },
    { type: 'hang' },
    { type: 'snapshot', names: ['b'], version: 9 },
  ]);
  const clock = new VirtualClock();
  const rounds: KindCopy[] = [];
  const stop = new AbortController();
  const follower: KindFollower = new KindFollower({
    store,
    kind: 'k',
    clock,
    random: new RandomSource(1),
    watchMs: 60_000,
    onSync: (round) => {
      rounds.push(round);
      follower.receiveVersion(8);
    },
  });
  void follower.run(stop.signal);
  await clock.advance(1_000);
  stop.abort();
  assert.deepEqual(namesOf(rounds.at(-1)), ['b']);
});

// Guards against a host that reverts to a stale response of the store after an outage.
test('the first read may be stale, a read after a failure may not', async () => {
  const { calls } = await follow([
    { type: 'snapshot', names: ['a'], version: 5 },
    { type: 'fail', error: AWAY },
    { type: 'snapshot', names: ['a'], version: 6 },
  ]);
  assert.deepEqual(calls, ['cheap snapshot', 'watch 5', 'snapshot', 'watch 6']);
});

// Guards against hundreds of hosts that each read a snapshot every two seconds although peers report
// changes to them.
test('a polling host reads at its poll interval, and at once when a peer reports a newer version', async () => {
  const steps = [5, 5, 9].map((version): Step => ({ type: 'snapshot', names: ['a'], version }));
  const { store, calls } = scriptedStore(steps);
  const clock = new VirtualClock();
  const stop = new AbortController();
  const follower = new KindFollower({
    ...{ store, kind: 'k', clock, random: new RandomSource(1), watchMs: 1_000 },
    mode: () => 'poll',
    nextPoll: () => ({ waitMs: 10_000, isTurn: false }),
    onSync: () => undefined,
  });
  void follower.run(stop.signal);
  await clock.advance(9_000);
  assert.equal(calls.length, 1);
  await clock.advance(2_000);
  assert.equal(calls.length, 2);
  follower.receiveVersion(8);
  await clock.advance(100);
  stop.abort();
  assert.equal(follower.getVersion(), 9);
});

// Guards against a list that one spoiled entry or response stops for good, with the process or without it.
test('a follower goes on after a copy that its user rejects and a response that can not be read', async () => {
  const faults: string[] = [];
  setFaultListener((place) => faults.push(place));
  const spoiled = (): never => {
    throw new TypeError('spoiled');
  };
  const { store } = scriptedStore([
    { type: 'snapshot', names: ['a'], version: 5 },
    { type: 'watch', put: 'b', next: 6 },
    { type: 'snapshot', names: ['a', 'b', 'c'], version: 8 },
  ]);
  let watches = 0;
  const clock = new VirtualClock();
  const names: (readonly string[])[] = [];
  const stop = new AbortController();
  const follower = new KindFollower({
    ...{ kind: 'k', clock, random: new RandomSource(1), watchMs: 1_000 },
    store: {
      snapshot: (...args: Parameters<WatchableStore['snapshot']>) => store.snapshot(...args),
      watch: (...args: Parameters<WatchableStore['watch']>) => {
        watches += 1;
        return watches === 2 ? spoiled() : store.watch(...args);
      },
    } as unknown as WatchableStore,
    onSync: (copy) => {
      names.push(namesOf(copy));
      if (names.length === 1) spoiled();
    },
  });
  void follower.run(stop.signal);
  await clock.advance(2_000);
  stop.abort();
  setFaultListener(undefined);
  assert.deepEqual(names, [['a'], ['a', 'b'], ['a', 'b', 'c']]);
  assert.deepEqual(faults, ['store.sync', 'store.follow']);
});
