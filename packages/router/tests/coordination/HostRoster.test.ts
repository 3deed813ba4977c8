import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HostRecord } from '../../src/coordination/hostRecord.ts';
import { HostRoster } from '../../src/coordination/HostRoster.ts';

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
  roster.getMembers(now).map((member) => member.host);

test('callers get the hosts with a recent hint', () => {
  const roster = new HostRoster('a', 'a');
  roster.update(list(['a', 'b', 'c']), 0);
  roster.receive(hint('b', false), 100);
  assert.deepEqual(names(roster, 200), ['a', 'b']);
});

// This host is partitioned from its peers, while callers reach all hosts. If it listed itself alone, it
// would get the callers of all hosts.
test('a host without a hint of any peer lists all hosts', () => {
  const roster = new HostRoster('a', 'a');
  roster.update(list(['a', 'b', 'c']), 0);
  roster.receive(hint('b', false), 0);
  assert.deepEqual(names(roster, 5_000), ['a', 'b', 'c']);
});

// The store is down for a minute. No record changes meanwhile, and no host may be taken for dead.
test('records do not age during an outage of the store', () => {
  const roster = new HostRoster('a', 'a');
  roster.update(list(['a', 'b']), 0);
  roster.update(list(['a', 'b']), 60_000);
  assert.deepEqual(roster.getExpired(), []);
  assert.equal(roster.countHosts(), 2);
});

test('a record that is not renewed while the store answers expires', () => {
  const roster = new HostRoster('a', 'a');
  Array.from({ length: roster.recordTtlMs() / 1_000 + 4 }, (_, i) => i * 1_000).forEach((now) =>
    roster.update(list(['a', 'b']), now),
  );
  assert.deepEqual(roster.getExpired(), [{ host: 'b', version: 1 }]);
});

test('a hint marks a host as leaving before its record does', () => {
  const roster = new HostRoster('a', 'a');
  roster.update(list(['a', 'b']), 0);
  roster.receive(hint('b', true), 0);
  assert.equal(roster.getMembers(10).find((member) => member.host === 'b')?.leaving, true);
});
