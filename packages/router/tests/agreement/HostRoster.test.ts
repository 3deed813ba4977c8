import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HostRecord } from '../../src/agreement/hostRecord.ts';
import { HostRoster } from '../../src/agreement/HostRoster.ts';

function record(host: string, leaving = false): HostRecord {
  return {
    host,
    incarnation: 'i',
    zone: 'a',
    callerAddress: `${host}:80`,
    peerAddress: `${host}:90`,
    leaving,
    strength: 1,
  };
}

const hint = (host: string, leaving = false) => ({ host, leaving, serving: true, nextMs: 200 });

const list = (hosts: readonly string[], version = 1) =>
  hosts.map((host) => ({ record: record(host), version }));

const names = (roster: HostRoster, now: number): readonly string[] =>
  roster.getMembers(now).map((mate) => mate.host);

test('callers are sent to hosts that were heard of lately', () => {
  const roster = new HostRoster('a', 'a');
  roster.update(list(['a', 'b', 'c']), 0);
  roster.receive(hint('b', false), 100);
  assert.deepEqual(names(roster, 200), ['a', 'b']);
});

// This host is cut off from the others, while callers reach all of them. Named alone, it would get
// everybody's callers.
test('a host that hears nobody names all', () => {
  const roster = new HostRoster('a', 'a');
  roster.update(list(['a', 'b', 'c']), 0);
  roster.receive(hint('b', false), 0);
  assert.deepEqual(names(roster, 5_000), ['a', 'b', 'c']);
});

// The store is away for a minute. Nobody's record changes meanwhile, which must make nobody look dead.
test('time without the store counts against nobody', () => {
  const roster = new HostRoster('a', 'a');
  roster.update(list(['a', 'b']), 0);
  roster.update(list(['a', 'b']), 60_000);
  assert.deepEqual(roster.getExpired(), []);
  assert.equal(roster.countSharers(), 2);
});

test('a record that nobody renews while the store is there expires', () => {
  const roster = new HostRoster('a', 'a');
  Array.from({ length: roster.recordLifeMs() / 1_000 + 4 }, (_, i) => i * 1_000).forEach((now) =>
    roster.update(list(['a', 'b']), now),
  );
  assert.deepEqual(roster.getExpired(), [{ host: 'b', version: 1 }]);
});

test('a leaving host is told by its own hint before its record says so', () => {
  const roster = new HostRoster('a', 'a');
  roster.update(list(['a', 'b']), 0);
  roster.receive(hint('b', true), 0);
  assert.equal(roster.getMembers(10).find((mate) => mate.host === 'b')?.leaving, true);
});
