import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import { HttpObjectStore } from '@camphorvane/store';
import { MemoryObjectStore, serveApp, storeRoutes } from '@camphorvane/stand-ins';
import { errorOf, valueOf } from './support/results.ts';

async function connect(t: TestContext) {
  const clock = new SystemClock();
  const memory = new MemoryObjectStore(clock);
  memory.setFaults({ delayMs: 0, hostListLagMs: 0 });
  const server = await serveApp(storeRoutes(memory), 0);
  const store = new HttpObjectStore({ baseUrl: `http://127.0.0.1:${server.port}`, clock });
  t.after(async () => {
    await store.close();
    await server.close();
  });
  return { memory, store };
}

test('the client and the platform stand-in agree on objects, conditions, lists and watches', async (t) => {
  const { memory, store } = await connect(t);
  const first = valueOf(await store.put('claim', 'a/1', { n: 1 }, 'absent'));
  const refused = errorOf(await store.put('claim', 'a/1', { n: 2 }, 'absent'));
  assert.deepEqual(refused, { type: 'conflict', current: first });
  const second = valueOf(await store.put('claim', 'a/1', { n: 2 }, first.version));
  valueOf(await store.put('claim', 'b', {}, 'absent'));
  assert.deepEqual(valueOf(await store.get('claim', 'a/1')), second);
  assert.deepEqual(valueOf(await store.list('claim', 'a')), [second]);
  const batch = valueOf(await store.watch('claim', first.version, 0, new AbortController().signal));
  assert.equal(batch.events.length, 2);
  valueOf(await store.remove('claim', 'a/1', second.version));
  assert.equal(valueOf(await store.get('claim', 'a/1')), undefined);
  memory.setFaults({ down: true });
  assert.equal(errorOf(await store.list('claim', '')).type, 'unavailable');
});

test('the client and the platform stand-in agree on the host list', async (t) => {
  const { store } = await connect(t);
  const entry = {
    id: 'h1',
    zone: 'a',
    callerAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    state: 'live',
  } as const;
  valueOf(await store.register(entry));
  assert.deepEqual(valueOf(await store.hosts()), [entry]);
  valueOf(await store.deregister('h1'));
  assert.deepEqual(valueOf(await store.hosts()), []);
});
