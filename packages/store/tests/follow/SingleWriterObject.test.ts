import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import { MemoryObjectStore } from '@camphorvane/stand-ins';
import type { WatchableStore } from '@camphorvane/store';
import { SingleWriterObject } from '@camphorvane/store';

function store(): MemoryObjectStore & WatchableStore {
  return new MemoryObjectStore(new SystemClock()) as unknown as MemoryObjectStore & WatchableStore;
}

// A restarted host finds the record of its earlier incarnation. It must overwrite it, or its peers
// would keep using an address on which no process listens.
test('a new incarnation overwrites the record of an earlier one', async () => {
  const objects = store();
  assert.equal(await new SingleWriterObject(objects, 'hosts', 'a').write({ start: 1 }), undefined);
  const second = new SingleWriterObject(objects, 'hosts', 'a');
  assert.equal(await second.write({ start: 2 }), undefined);
  assert.equal(await second.write({ start: 3 }), undefined);
  const stored = await objects.get('hosts', 'a');
  assert.deepEqual(stored._unsafeUnwrap()?.value, { start: 3 });
});

test('a failed write returns the error', async () => {
  const objects = store();
  objects.setFaults({ down: true });
  const problem = await new SingleWriterObject(objects, 'hosts', 'a').write({});
  assert.equal(problem?.type, 'unavailable');
});

test('removing a record twice succeeds', async () => {
  const objects = store();
  const record = new SingleWriterObject(objects, 'hosts', 'a');
  await record.write({});
  await record.remove();
  await record.remove();
  assert.equal((await objects.get('hosts', 'a'))._unsafeUnwrap(), undefined);
});
