import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import type { Millis } from '@camphorvane/core';
import { WaitEstimator } from '@camphorvane/decisions';

/** Simulates a queue that always has work; each start is compared with the estimate made for 10 units ahead. */
function drain(estimator: WaitEstimator, perMs: number, realWaitMs: Millis, forMs: Millis): Millis {
  const intervalMs = 1 / perMs;
  const starts = Math.floor(forMs / intervalMs);
  estimator.recordQueued(10, 0);
  Array.from({ length: starts }, (_, i) => (i + 1) * intervalMs).forEach((now) => {
    const estimatedMs = estimator.estimateUncorrectedMs(10, now);
    estimator.recordStarted(realWaitMs, estimatedMs, 1, now);
    estimator.recordQueued(10, now);
  });
  return estimator.estimateWaitMs(10, starts * intervalMs);
}

// Guards against refusals by a guess: without measurement and prior, requests are queued as before.
test('without measurement and prior nothing is estimated', () => {
  const estimator = new WaitEstimator(1_000);
  assert.equal(estimator.estimateUncorrectedMs(5, 0), undefined);
  assert.equal(estimator.estimateWaitMs(5, 0), 0);
});

test('the prior counts until the drain rate has been measured', () => {
  const estimator = new WaitEstimator(1_000);
  estimator.setPrior(6, 60);
  assert.equal(estimator.estimateWaitMs(10, 0), 100);
  const measured = drain(estimator, 0.02, 500, 3_000);
  assert.ok(measured > 300 && measured < 700, `${measured}`);
});

// Guards against wrong estimates that stay wrong, for example since more urgent requests go first.
test('estimates correct themselves by real waits', () => {
  [50, 100, 300].forEach((realWaitMs) => {
    const estimator = new WaitEstimator(1_000);
    estimator.setPrior(6, 60);
    const estimate = drain(estimator, 0.1, realWaitMs, 3_000);
    assert.ok(Math.abs(estimate / realWaitMs - 1) < 0.1, `${estimate} for ${realWaitMs}`);
  });
});

test('the correction stays within its bounds', () => {
  const event = fc.record({
    waitedMs: fc.double({ min: 0, max: 1e6, noNaN: true }),
    estimatedMs: fc.double({ min: 0, max: 1e6, noNaN: true }),
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 200 }), (events) => {
      const estimator = new WaitEstimator(1_000);
      estimator.setPrior(6, 60);
      estimator.recordQueued(1, 0);
      events.forEach(({ waitedMs, estimatedMs }, i) =>
        estimator.recordStarted(waitedMs, estimatedMs, 1, i),
      );
      assert.ok(estimator.correction >= 1 / 4 && estimator.correction <= 4);
      const estimates = [1, 2, 5].map((ahead) => estimator.estimateWaitMs(ahead, events.length));
      assert.ok(estimates.every((ms) => Number.isFinite(ms) && ms >= 0));
      assert.deepEqual(
        estimates,
        [...estimates].sort((a, b) => a - b),
      );
    }),
  );
});

// Guards against a burst that is refused by the capacity of half a minute ago, before servers were lost.
test('a measurement without recent work yields to the prior', () => {
  const estimator = new WaitEstimator(1_000);
  estimator.setPrior(6, 60);
  drain(estimator, 0.1, 100, 3_000);
  estimator.recordQueued(0, 3_000);
  estimator.setPrior(2, 60);
  const later = estimator.estimateWaitMs(10, 63_000);
  assert.ok(later > 270 && later <= 330, `${later}`);
});
