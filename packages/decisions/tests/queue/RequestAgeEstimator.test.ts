import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestAgeEstimator } from '@camphorvane/decisions';

test('requests with about as much time left as others are first tries', () => {
  const ages = new RequestAgeEstimator();
  assert.equal(ages.estimate('r', 12_000, 0), 0);
  assert.equal(ages.estimate('r', 14_000, 10), 0);
  assert.equal(ages.estimate('r', 11_900, 20), 0);
});

test('a request with much less time left than others is a retry', () => {
  const ages = new RequestAgeEstimator();
  ages.estimate('r', 14_000, 0);
  assert.equal(ages.estimate('r', 10_500, 10), 3_500);
  assert.equal(ages.estimate('another', 10_500, 10), 0, 'routes are not compared with each other');
});

// Guards against a route whose callers set shorter timeouts than before and would all count as late for good.
test('a time left that no request reaches any more is forgotten', () => {
  const ages = new RequestAgeEstimator();
  ages.estimate('r', 14_000, 0);
  assert.ok(ages.estimate('r', 5_000, 29_000) > 0);
  assert.ok(ages.estimate('r', 5_000, 31_000) > 0);
  assert.equal(ages.estimate('r', 5_000, 62_000), 0);
  assert.equal(ages.estimate('r', 4_900, 63_000), 0);
});
