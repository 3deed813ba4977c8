import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandHistory, NO_DEMAND, sumDemand } from '@camphorvane/decisions';
import type { PoolDemand } from '@camphorvane/decisions';

const ONE: PoolDemand = { requests: 1, promptTokens: 100, memoryTokens: 150, memorySteps: 3_000 };

const times = (count: number): PoolDemand =>
  Array.from({ length: count }, () => ONE).reduce(sumDemand, NO_DEMAND);

const requestsIn = (history: DemandHistory, now: number): number =>
  history.getBuckets(now).reduce((sum, bucket) => sum + bucket.requests, 0);

test('totals of several hosts are added up in the bucket in which they are received', () => {
  const history = new DemandHistory();
  history.receive('a', 's', NO_DEMAND, 0);
  history.receive('b', 's', NO_DEMAND, 0);
  history.receive('a', 's', times(2), 50);
  history.receive('b', 's', times(3), 150);
  history.receive('a', 's', times(4), 250);
  assert.deepEqual(
    history.getBuckets(400).map((bucket) => bucket.requests),
    [5, 2],
  );
});

// Totals are cumulative, so the one after a lost datagram includes what that reported.
test('a lost message leaves no gap', () => {
  const history = new DemandHistory();
  history.receive('a', 's', NO_DEMAND, 0);
  history.receive('a', 's', times(7), 300);
  assert.equal(requestsIn(history, 600), 7);
});

// To a newly started host, the first total of a host that has served for hours must not look like a
// burst.
test('the first total of a host is no demand', () => {
  const history = new DemandHistory();
  history.receive('a', 's', times(5_000), 100);
  history.receive('a', 's', times(5_002), 300);
  assert.equal(requestsIn(history, 600), 2);
});

test('the total of a restarted host is counted from zero', () => {
  const history = new DemandHistory();
  history.receive('a', 's1', times(10), 0);
  history.receive('a', 's2', times(3), 300);
  assert.equal(requestsIn(history, 600), 3);
});

test('demand older than half a minute is dropped', () => {
  const history = new DemandHistory();
  history.receive('a', 's', NO_DEMAND, 0);
  history.receive('a', 's', times(3), 100);
  history.receive('a', 's', times(4), 29_000);
  assert.equal(requestsIn(history, 29_400), 4);
  assert.equal(requestsIn(history, 40_000), 1);
});
