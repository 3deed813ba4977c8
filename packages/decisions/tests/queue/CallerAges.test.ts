import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CallerAges } from '@camphorvane/decisions';

test('callers that wait about as long as the others ask for the first time', () => {
  const ages = new CallerAges();
  assert.equal(ages.note('r', 12_000, 0), 0);
  assert.equal(ages.note('r', 14_000, 10), 0);
  assert.equal(ages.note('r', 11_900, 20), 0);
});

test('a caller with much less time left than others has asked before', () => {
  const ages = new CallerAges();
  ages.note('r', 14_000, 0);
  assert.equal(ages.note('r', 10_500, 10), 3_500);
  assert.equal(ages.note('another', 10_500, 10), 0, 'routes are not compared with each other');
});

// Guards against a route whose callers wait less than before, and who would all count as late for good.
test('a patience that nobody has any more is forgotten', () => {
  const ages = new CallerAges();
  ages.note('r', 14_000, 0);
  assert.ok(ages.note('r', 5_000, 29_000) > 0);
  assert.ok(ages.note('r', 5_000, 31_000) > 0);
  assert.equal(ages.note('r', 5_000, 62_000), 0);
  assert.equal(ages.note('r', 4_900, 63_000), 0);
});
