import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isServing } from '@camphorvane/decisions';

const zoneOf = (strengths: readonly number[]) =>
  strengths.map((strength, i) => ({ host: `h${i}`, strength }));

const servingOf = (strengths: readonly number[], fleet: number): readonly string[] => {
  const zone = zoneOf(strengths);
  return zone.map(({ host }) => host).filter((host) => isServing(host, zone, fleet));
};

test('all hosts of a small fleet take callers', () => {
  assert.equal(servingOf(Array(20).fill(1) as number[], 20).length, 20);
});

// Guards against many hosts that each place a few requests on what the others placed unseen.
test('in a large fleet the strongest third of a zone takes callers', () => {
  const strengths = [1.35, 1.35, 1.35, ...(Array(41).fill(0.324) as number[])];
  assert.deepEqual(
    servingOf(strengths, 195),
    Array.from({ length: 9 }, (_, i) => `h${i}`),
  );
});

test('a zone with few hosts left keeps three that take callers', () => {
  assert.deepEqual(servingOf([1, 1, 1, 1, 1], 100), ['h0', 'h1', 'h2']);
  assert.deepEqual(servingOf([1], 100), ['h0']);
});
