import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Bounds, compare, findViolations, readBounds } from '@camphorvane/bench';
import { BOUNDS_FILE, shipped } from '../support/workloads.ts';

test('the scheduler keeps within the checked-in bounds', () => {
  const bounds = readBounds(BOUNDS_FILE);
  const names = [...new Set(bounds.bounds.map((bound) => bound.workload))];
  const scores = names.map((name) => compare(shipped(name), bounds.seeds, ['camphorvane']));
  assert.deepEqual(findViolations(bounds, scores), []);
});

test('a worse policy and a missing figure violate the bounds', () => {
  const bounds: Bounds = {
    seeds: [1],
    bounds: [
      { workload: 'tasman-hot', policy: 'least-load', figure: 'ofOracle', least: 0.93 },
      { workload: 'tasman-hot', policy: 'least-load', figure: 'wastedPrefill', most: 0.03 },
      { workload: 'tasman-calm', policy: 'least-load', figure: 'goodput', least: 0 },
    ],
  };
  const scores = [compare(shipped('tasman-hot'), bounds.seeds, ['least-load'])];
  const violated = findViolations(bounds, scores);
  assert.deepEqual(
    violated.map(({ bound }) => bound),
    bounds.bounds,
  );
});
