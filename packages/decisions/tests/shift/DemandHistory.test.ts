import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandHistory, NO_DEMAND, sumDemand } from '@camphorvane/decisions';
import type { PoolDemand } from '@camphorvane/decisions';

const ONE: PoolDemand = { requests: 1, promptTokens: 100, memoryTokens: 150, memorySteps: 3_000 };

const times = (count: number): PoolDemand =>
  Array.from({ length: count }, () => ONE).reduce(sumDemand, NO_DEMAND);

const requestsIn = (history: DemandHistory, now: number): number =>
  history.getSpans(now).reduce((sum, span) => sum + span.requests, 0);

test('what several hosts count is added up in the span in which it is heard', () => {
  const history = new DemandHistory();
  history.receive('a', 's', NO_DEMAND, 0);
  history.receive('b', 's', NO_DEMAND, 0);
  history.receive('a', 's', times(2), 50);
  history.receive('b', 's', times(3), 150);
  history.receive('a', 's', times(4), 250);
  assert.deepEqual(
    history.getSpans(400).map((span) => span.requests),
    [5, 2],
  );
});

// Datagrams are lost. The next count holds what the lost one said, so nothing is missing.
test('a lost message leaves no gap', () => {
  const history = new DemandHistory();
  history.receive('a', 's', NO_DEMAND, 0);
  history.receive('a', 's', times(7), 300);
  assert.equal(requestsIn(history, 600), 7);
});

// A host that has served for hours is heard for the first time by one that has just started. What came
// to it in all that time must not look like a burst.
test('a host that is heard for the first time brings no burst', () => {
  const history = new DemandHistory();
  history.receive('a', 's', times(5_000), 100);
  history.receive('a', 's', times(5_002), 300);
  assert.equal(requestsIn(history, 600), 2);
});

test('a host that starts anew counts from zero', () => {
  const history = new DemandHistory();
  history.receive('a', 's1', times(10), 0);
  history.receive('a', 's2', times(3), 300);
  assert.equal(requestsIn(history, 600), 3);
});

test('what is older than half a minute is forgotten', () => {
  const history = new DemandHistory();
  history.receive('a', 's', NO_DEMAND, 0);
  history.receive('a', 's', times(3), 100);
  history.receive('a', 's', times(4), 29_000);
  assert.equal(requestsIn(history, 29_400), 4);
  assert.equal(requestsIn(history, 40_000), 1);
});
