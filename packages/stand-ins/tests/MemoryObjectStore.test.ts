import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import { MemoryObjectStore } from '../src/index.ts';
import { errorOf, valueOf } from './support/results.ts';

const HOST = { id: 'h1', zone: 'a', callerAddress: '', peerAddress: '', state: 'live' } as const;

async function soon<T>(clock: VirtualClock, work: PromiseLike<T>): Promise<T> {
  await clock.advance(20);
  return work;
}

test('a conditional write needs the version that is stored', async () => {
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  const first = valueOf(await soon(clock, store.put('k', 'n', { a: 1 }, 'absent')));
  const again = await soon(clock, store.put('k', 'n', { a: 2 }, 'absent'));
  assert.equal(errorOf(again).type, 'conflict');
  const next = await soon(clock, store.put('k', 'n', { a: 3 }, first.version));
  assert.ok(valueOf(next).version > first.version);
});

test('a write whose answer is lost has taken effect', async () => {
  // The platform's answer never arrives: the writer can't tell whether its change is in force.
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  store.setFaults({ lostAnswers: 1 });
  const lost = await soon(clock, store.put('k', 'n', 7, 'absent'));
  assert.equal(errorOf(lost).type, 'unavailable');
  assert.equal(valueOf(await soon(clock, store.get('k', 'n')))?.value, 7);
});

test('a watch reports a change, and breaks when the platform goes down', async () => {
  // The platform goes away under a waiting watch: a host would miss changes without a word.
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  const { signal } = new AbortController();
  const watch = store.watch('k', 0, 10_000, signal);
  await clock.advance(50);
  const written = valueOf(await soon(clock, store.put('k', 'n', 1, 'absent')));
  assert.equal(valueOf(await soon(clock, watch)).next, written.version);
  const second = store.watch('k', written.version, 10_000, signal);
  await clock.advance(50);
  store.setFaults({ down: true });
  assert.equal(errorOf(await soon(clock, second)).type, 'unavailable');
});

test('calls over the rate are put off', async () => {
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  store.setFaults({ writesPerSecond: 2 });
  const writes = ['a', 'b', 'c', 'd'].map((name) => store.put('k', name, 1, 'absent'));
  const results = await soon(clock, Promise.all(writes));
  const refused = results.filter((result) => result.isErr());
  assert.equal(refused.length, 2);
  assert.equal(errorOf(refused[0]!).type, 'over_budget');
});

test('the list of hosts lags', async () => {
  // A host has died, and readers of the list still see it for a while.
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  store.setHost(HOST);
  await clock.advance(1500);
  store.removeHost('h1');
  assert.equal(valueOf(await soon(clock, store.hosts())).length, 1);
  await clock.advance(1500);
  assert.equal(valueOf(await soon(clock, store.hosts())).length, 0);
});
