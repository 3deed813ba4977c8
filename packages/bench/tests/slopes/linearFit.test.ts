import assert from 'node:assert/strict';
import { test } from 'node:test';
import { linearFit } from '../../src/slopes/linearFit.ts';

test('a line through points is found, and its residual tells how far they lie from it', () => {
  const exact = linearFit([1, 2, 5].map((x) => ({ x, y: 3 + 2 * x })));
  assert.ok(Math.abs(exact.slope - 2) < 1e-9);
  assert.ok(Math.abs(exact.intercept - 3) < 1e-9);
  assert.ok(exact.residual < 1e-9);
  const rough = linearFit([
    { x: 0, y: 1 },
    { x: 1, y: -1 },
    { x: 2, y: -1 },
    { x: 3, y: 1 },
  ]);
  assert.ok(Math.abs(rough.slope) < 1e-9);
  assert.equal(rough.residual, 1);
});
