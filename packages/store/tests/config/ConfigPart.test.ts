import assert from 'node:assert/strict';
import { test } from 'node:test';
import { bucketCountFor, chunkConfig, configDigest } from '@camphorvane/store';
import fc from 'fast-check';
import { configOf, manyTeams, team } from '../support/publish.ts';

test('a change of one team changes one chunk', () => {
  const { teams } = manyTeams(2000);
  const before = new Set(chunkConfig(configOf(...teams)).manifest.parts.map((p) => p.digest));
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 1999 }), (i) => {
      const changed = teams.map((entry, k) => (k === i ? { ...entry, weight: 2 } : entry));
      const { parts } = chunkConfig(configOf(...changed)).manifest;
      assert.equal(parts.filter((part) => !before.has(part.digest)).length, 1);
    }),
    { numRuns: 20, seed: 7 },
  );
});

test('the order of teams and of keys does not change the digests', () => {
  const a = configOf(team('a', ['d1', 'd2']), team('b'));
  const b = configOf(team('b'), team('a', ['d2', 'd1']));
  assert.equal(configDigest(a), configDigest(b));
  assert.deepEqual(chunkConfig(a), chunkConfig(b));
  assert.notEqual(configDigest(a), configDigest(configOf(team('a', ['d1']), team('b'))));
});

test('the number of buckets grows with the teams and stays while close to the best number', () => {
  assert.deepEqual(
    [0, 64, 65, 20_000, 10 ** 7].map((n) => bucketCountFor(n)),
    [1, 1, 2, 512, 1024],
  );
  assert.equal(bucketCountFor(20_000, 128), 128);
  assert.equal(bucketCountFor(20_000, 64), 512);
});
