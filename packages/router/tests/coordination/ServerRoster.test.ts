import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServerRecord } from '@camphorvane/store';
import { ServerRoster } from '../../src/coordination/ServerRoster.ts';

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

test('a server that is no longer listed gets no work', () => {
  const roster = new ServerRoster();
  roster.update([server('a'), server('b')], 0, 0);
  roster.update([server('a')], 0, 100);
  assert.deepEqual(ids(roster, 100), ['a']);
});

// Entries that could not be renewed during an outage of the store have expired, although all servers
// are up. Without a grace period every caller would be refused when the store returns.
test('servers that are missing after an outage are used for two more seconds', () => {
  const roster = new ServerRoster();
  roster.update([server('a'), server('b')], 0, 0);
  roster.update([], 4_000, 10_000);
  assert.deepEqual([...ids(roster, 11_900)].sort(), ['a', 'b']);
  roster.update([server('a')], 0, 11_950);
  assert.deepEqual([...ids(roster, 12_000)].sort(), ['a', 'b']);
  assert.deepEqual(ids(roster, 12_400), ['a']);
});

// A server announced that it leaves before the outage of the store. Requests sent to it afterwards
// would fail.
test('a leaving server that is missing after an outage gets no work', () => {
  const roster = new ServerRoster();
  roster.update([server('a', true)], 0, 0);
  roster.update([], 4_000, 10_000);
  assert.deepEqual(ids(roster, 10_100), []);
});

test('an outage too short for an entry to expire gives no grace period', () => {
  const roster = new ServerRoster();
  roster.update([server('a')], 0, 0);
  roster.update([], 300, 1_000);
  assert.deepEqual(ids(roster, 1_000), []);
});

test('the end of the grace period is known', () => {
  const roster = new ServerRoster();
  roster.update([server('a')], 0, 0);
  assert.equal(roster.getGraceEnd(0), undefined);
  roster.update([], 4_000, 10_000);
  const change = roster.getGraceEnd(10_000);
  assert.ok(change !== undefined && change > 12_000 && change < 12_500);
});

// A server is listed when the store returns and leaves a moment later. Its entry is removed within the
// grace period for expired entries, which must not apply to it: it would get requests for two seconds.
test('a server that leaves after the return of the store gets no work', () => {
  const roster = new ServerRoster();
  roster.update([server('a'), server('b')], 0, 0);
  roster.update([server('a'), server('b')], 8_900, 10_000);
  roster.update([server('a')], 0, 10_250);
  assert.deepEqual(ids(roster, 10_300), ['a']);
});

test('a server that was missing after an outage, came back and left gets no work', () => {
  const roster = new ServerRoster();
  roster.update([server('a'), server('b')], 0, 0);
  roster.update([server('a')], 4_000, 10_000);
  roster.update([server('a'), server('b')], 0, 10_500);
  roster.update([server('a')], 0, 11_000);
  assert.deepEqual(ids(roster, 11_100), ['a']);
});
