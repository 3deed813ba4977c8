import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isServing } from '@camphorvane/decisions';

const candidatesOf = (strengths: readonly number[]) =>
  strengths.map((strength, i) => ({ host: `h${i}`, strength }));

const servingOf = (strengths: readonly number[], fleetSize: number): readonly string[] => {
  const zoneHosts = candidatesOf(strengths);
  return zoneHosts.map(({ host }) => host).filter((host) => isServing(host, zoneHosts, fleetSize));
};

test('all hosts of a small fleet serve callers', () => {
  assert.equal(servingOf(Array(20).fill(1) as number[], 20).length, 20);
});

// Guards against overfilled engines, where many hosts each place a few requests without seeing the others'.
test('the strongest third of a zone serves callers in a large fleet', () => {
  const strengths = [1.35, 1.35, 1.35, ...(Array(41).fill(0.324) as number[])];
  assert.deepEqual(
    servingOf(strengths, 195),
    Array.from({ length: 9 }, (_, i) => `h${i}`),
  );
});

test('a zone keeps at least three serving hosts, or all that are left', () => {
  assert.deepEqual(servingOf([1, 1, 1, 1, 1], 100), ['h0', 'h1', 'h2']);
  assert.deepEqual(servingOf([1], 100), ['h0']);
});
