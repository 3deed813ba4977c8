import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DecayingSums } from '../../src/structures/DecayingSums.ts';

// Guards against memory that grows with each key that was ever used, also where nothing was added to it.
test('decayed sums are forgotten', () => {
  const sums = new DecayingSums<string>(1_000);
  sums.add('a', 2, 0);
  sums.add('a', 0, 0);
  sums.add('empty', 0, 0);
  sums.prune(1_000);
  assert.deepEqual(sums.keys(), ['a']);
  assert.equal(sums.get('a', 1_000).toFixed(3), (2 / Math.E).toFixed(3));
  sums.prune(5_000);
  assert.deepEqual(sums.keys(), []);
});
