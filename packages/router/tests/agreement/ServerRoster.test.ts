import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServerRecord } from '@camphorvane/store';
import { ServerRoster } from '../../src/agreement/ServerRoster.ts';

function server(id: string, leaving = false): ServerRecord {
  return {
    id,
    service: 's',
    address: '10.0.0.1:1',
    zone: 'a',
    slots: 4,
    leaving,
    role: undefined,
    startingMs: 0,
  };
}

const ids = (roster: ServerRoster, now: number): readonly string[] =>
  roster.list(now).map((one) => one.id);

test('a server that is not listed any more gets no work', () => {
  const roster = new ServerRoster();
  roster.update([server('a'), server('b')], 0, 0);
  roster.update([server('a')], 0, 100);
  assert.deepEqual(ids(roster, 100), ['a']);
});

// The store was away for some seconds, and entries that could not be renewed lapsed meanwhile. All
// servers live. Without patience every caller would be refused in the moment of the store's return.
test('servers that are missing after an outage are used for two seconds more', () => {
  const roster = new ServerRoster();
  roster.update([server('a'), server('b')], 0, 0);
  roster.update([], 4_000, 10_000);
  assert.deepEqual([...ids(roster, 11_900)].sort(), ['a', 'b']);
  roster.update([server('a')], 0, 11_950);
  assert.deepEqual([...ids(roster, 12_000)].sort(), ['a', 'b']);
  assert.deepEqual(ids(roster, 12_400), ['a']);
});

// A server said that it leaves before the store went away. Sending to it after the store is back
// would reach a server that is gone.
test('a leaving server that is missing after an outage is gone', () => {
  const roster = new ServerRoster();
  roster.update([server('a', true)], 0, 0);
  roster.update([], 4_000, 10_000);
  assert.deepEqual(ids(roster, 10_100), []);
});

test('a pause too short for an entry to lapse keeps nothing', () => {
  const roster = new ServerRoster();
  roster.update([server('a')], 0, 0);
  roster.update([], 300, 1_000);
  assert.deepEqual(ids(roster, 1_000), []);
});

test('the time at which patience ends is known', () => {
  const roster = new ServerRoster();
  roster.update([server('a')], 0, 0);
  assert.equal(roster.nextChange(0), undefined);
  roster.update([], 4_000, 10_000);
  const change = roster.nextChange(10_000);
  assert.ok(change !== undefined && change > 12_000 && change < 12_500);
});

// The store is back and lists a server, which leaves a moment later. Its entry is taken out while this
// host still waits for entries that lapsed: used on, it would get requests for two seconds more.
test('a server that leaves after the return of the store gets no work', () => {
  const roster = new ServerRoster();
  roster.update([server('a'), server('b')], 0, 0);
  roster.update([server('a'), server('b')], 8_900, 10_000);
  roster.update([server('a')], 0, 10_250);
  assert.deepEqual(ids(roster, 10_300), ['a']);
});

test('a server that was missing after an outage, came back and left again is gone', () => {
  const roster = new ServerRoster();
  roster.update([server('a'), server('b')], 0, 0);
  roster.update([server('a')], 4_000, 10_000);
  roster.update([server('a'), server('b')], 0, 10_500);
  roster.update([server('a')], 0, 11_000);
  assert.deepEqual(ids(roster, 11_100), ['a']);
});
