import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import { MemoryObjectStore } from '@camphorvane/stand-ins';
import type { WatchableStore } from '@camphorvane/store';
import { OwnRecord } from '@camphorvane/store';

function store(): MemoryObjectStore & WatchableStore {
  return new MemoryObjectStore(new SystemClock()) as unknown as MemoryObjectStore & WatchableStore;
}

// A host starts again under its name, and finds the record of its earlier start. It must take it
// over, or its peers would go on with an address where nobody listens.
test('a new start writes over what an earlier one left', async () => {
  const all = store();
  assert.equal(await new OwnRecord(all, 'hosts', 'a').write({ start: 1 }), undefined);
  const second = new OwnRecord(all, 'hosts', 'a');
  assert.equal(await second.write({ start: 2 }), undefined);
  assert.equal(await second.write({ start: 3 }), undefined);
  const stored = await all.get('hosts', 'a');
  assert.deepEqual(stored._unsafeUnwrap()?.value, { start: 3 });
});

test('a record that could not be written says why', async () => {
  const all = store();
  all.setFaults({ down: true });
  const problem = await new OwnRecord(all, 'hosts', 'a').write({});
  assert.equal(problem?.type, 'unavailable');
});

test('removing twice does no harm', async () => {
  const all = store();
  const record = new OwnRecord(all, 'hosts', 'a');
  await record.write({});
  await record.remove();
  await record.remove();
  assert.equal((await all.get('hosts', 'a'))._unsafeUnwrap(), undefined);
});
