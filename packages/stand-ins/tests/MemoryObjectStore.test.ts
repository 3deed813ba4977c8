import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import { MemoryObjectStore } from '../src/index.ts';
import { errorOf, valueOf } from './support/results.ts';

const HOST = { id: 'h1', zone: 'a', callerAddress: '', peerAddress: '', state: 'live' } as const;

/** Advances virtual time by 20 ms and then awaits a promise. */
async function advanceDuring<T>(clock: VirtualClock, work: PromiseLike<T>): Promise<T> {
  await clock.advance(20);
  return work;
}

test('a conditional write requires the stored version', async () => {
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  const first = valueOf(await advanceDuring(clock, store.put('k', 'n', { a: 1 }, 'absent')));
  const again = await advanceDuring(clock, store.put('k', 'n', { a: 2 }, 'absent'));
  assert.equal(errorOf(again).type, 'conflict');
  const next = await advanceDuring(clock, store.put('k', 'n', { a: 3 }, first.version));
  assert.ok(valueOf(next).version > first.version);
});

test('a write whose answer is lost has taken effect', async () => {
  // The answer of the platform is lost: the writer can't tell whether its write took effect.
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  store.setFaults({ lostAnswers: 1 });
  const lost = await advanceDuring(clock, store.put('k', 'n', 7, 'absent'));
  assert.equal(errorOf(lost).type, 'unavailable');
  assert.equal(valueOf(await advanceDuring(clock, store.get('k', 'n')))?.value, 7);
});

test('a watch reports a change, and fails when the platform goes down', async () => {
  // The platform goes down during a pending watch: without an error a host would miss changes
  // unnoticed.
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  const { signal } = new AbortController();
  const watch = store.watch('k', 0, 10_000, signal);
  await clock.advance(50);
  const written = valueOf(await advanceDuring(clock, store.put('k', 'n', 1, 'absent')));
  assert.equal(valueOf(await advanceDuring(clock, watch)).next, written.version);
  const second = store.watch('k', written.version, 10_000, signal);
  await clock.advance(50);
  store.setFaults({ down: true });
  assert.equal(errorOf(await advanceDuring(clock, second)).type, 'unavailable');
});

test('calls above the rate limit are rejected', async () => {
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  store.setFaults({ writesPerSecond: 2 });
  const writes = ['a', 'b', 'c', 'd'].map((name) => store.put('k', name, 1, 'absent'));
  const results = await advanceDuring(clock, Promise.all(writes));
  const refused = results.filter((result) => result.isErr());
  assert.equal(refused.length, 2);
  assert.equal(errorOf(refused[0]!).type, 'over_budget');
});

test('the host list is stale by its lag', async () => {
  // A host is removed, but readers of the list see it until the lag has passed.
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  store.setHost(HOST);
  await clock.advance(1500);
  store.removeHost('h1');
  assert.equal(valueOf(await advanceDuring(clock, store.hosts())).length, 1);
  await clock.advance(1500);
  assert.equal(valueOf(await advanceDuring(clock, store.hosts())).length, 0);
});
