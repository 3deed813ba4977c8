import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { UsageRow } from '@camphorvane/decisions';
import { UsageReports, usageWithout } from '../../src/coordination/UsageReports.ts';

const CALLS = 'c:orders';

// Guards against a host that counts its own usage twice, by itself and from a digest.
test('a digest carries the usage of all hosts but the receiver', () => {
  const reports = new UsageReports();
  reports.receive(
    'h1',
    [
      ['a', CALLS, 2.1],
      ['b', CALLS, 1],
    ],
    0,
  );
  reports.receive('h2', [['a', CALLS, 3.2]], 0);
  reports.receive('h3', undefined, 0);
  const sums = reports.aggregate(0);
  assert.deepEqual(usageWithout(sums, 'h1'), [['a', CALLS, 3.2]]);
  assert.deepEqual(usageWithout(sums, 'h2'), [
    ['a', CALLS, 2.1],
    ['b', CALLS, 1],
  ]);
  assert.deepEqual(usageWithout(sums, 'h3'), [
    ['a', CALLS, 5.3],
    ['b', CALLS, 1],
  ]);
});

// Guards against digests that grow with the number of teams.
test('a digest carries the 64 largest rows, by their part of each resource', () => {
  const reports = new UsageReports();
  const rowsOf = (host: string): readonly UsageRow[] =>
    Array.from({ length: 64 }, (_, i) => [`${host}.${i}`, i < 32 ? CALLS : 'm:llm', (i % 32) + 1]);
  ['h1', 'h2', 'h3'].forEach((host) => reports.receive(host, rowsOf(host), 0));
  const rows = usageWithout(reports.aggregate(0), 'h1') ?? [];
  assert.equal(rows.length, 64);
  assert.ok(rows.every(([team, , amount]) => !team.startsWith('h1') && amount > 16));
});
