import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fairShares } from '@camphorvane/bench';

test('gives small teams what they want and divides the rest by weight', () => {
  const shares = fairShares(100, [
    { team: 'large', weight: 1, wanted: 500 },
    { team: 'double', weight: 2, wanted: 500 },
    { team: 'small', weight: 1, wanted: 10 },
  ]);
  assert.deepEqual(Object.fromEntries(shares), { small: 10, large: 30, double: 60 });
});
