import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestArrivals } from '@camphorvane/decisions';

test('the first arrival and the first prompt that is read are no retries', () => {
  const arrivals = new RequestArrivals();
  assert.equal(arrivals.retriesFor('prefill_and_run'), 0);
  assert.ok(arrivals.recordPrefill(true));
  assert.equal(arrivals.retriesFor('run'), 0);
  assert.ok(arrivals.recordRun());
});

// Guards against a prompt that is read again on another engine and paid with the run that follows it.
test('a prompt that is read again is a retry beside its run', () => {
  const arrivals = new RequestArrivals();
  arrivals.recordPrefill(true);
  arrivals.recordRun();
  assert.equal(arrivals.retriesFor('run'), 1);
  assert.equal(arrivals.retriesFor('prefill_and_run'), 2);
  arrivals.recordCharge(1);
  assert.ok(arrivals.recordPrefill(true));
  assert.ok(!arrivals.recordRun(), 'the run was charged');
});

test('a rejected prefill is the first arrival, and the accepted one after it counts only with its run', () => {
  const arrivals = new RequestArrivals();
  assert.ok(arrivals.recordPrefill(false));
  assert.equal(arrivals.retriesFor('prefill_and_run'), 1);
  arrivals.recordCharge(1);
  assert.ok(arrivals.recordPrefill(true));
  assert.ok(arrivals.recordRun());
});

test('a charge whose run reached no upstream covers the next one', () => {
  const arrivals = new RequestArrivals();
  arrivals.recordRun();
  arrivals.recordCharge(arrivals.retriesFor('run'));
  arrivals.recordRun();
  arrivals.withdrawRun();
  assert.equal(arrivals.retriesFor('run'), 0);
  assert.ok(arrivals.recordRun());
});

// Guards against a host that takes a request which others have sent before for a new one.
test('arrivals at the upstreams of other hosts count', () => {
  const first = new RequestArrivals();
  first.recordPrefill(true);
  first.recordRun();
  const next = new RequestArrivals(first.getEarlier());
  assert.ok(next.hasArrived());
  assert.equal(next.retriesFor('run'), 0, 'the other host has charged the run');
  assert.equal(next.retriesFor('prefill_and_run'), 1);
  next.recordRun();
  assert.equal(next.retriesFor('run'), 1);
});
