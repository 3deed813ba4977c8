import assert from 'node:assert/strict';
import { test } from 'node:test';
import { searchAll, searchRandomly } from '../../../src/explore/search.ts';
import { shareProtocol } from '../../../src/explore/shares/ShareProtocol.ts';
import { SHARE_MUTATIONS, SHARE_WORLD } from '../../../src/explore/shares/worlds.ts';

const BOUNDS = { depth: 4, maxStates: 60_000, stopAtFirst: true };

test('no interleaving of a few steps lets two hosts use one share', () => {
  // Messages are lost, duplicated and reordered, hosts restart and pause, coordinators change, and
  // clocks drift. A violation would let a team receive more than its rate.
  const found = searchAll(shareProtocol(SHARE_WORLD), BOUNDS);
  assert.deepEqual(found.violations, []);
  assert.equal(found.truncated, false);
  assert.ok(found.statesVisited > 1000);
});

test('long random runs keep the sum of shares within 1 and tokens within rate and burst', () => {
  // The same faults in runs deeper than an exhaustive search can go, also with three hosts.
  const three = { ...SHARE_WORLD, clockRates: [1.1, 0.9, 1], maxEpochs: 6, maxRestarts: 3 };
  const runs = { runs: 150, length: 150, seed: 11 };
  [SHARE_WORLD, three].forEach((options) => {
    const found = searchRandomly(shareProtocol(options), runs);
    assert.deepEqual(found.violations, []);
  });
});

Object.entries(SHARE_MUTATIONS).forEach(([name, rules]) => {
  test(`the search finds a violation with the mutation ${name}`, () => {
    const protocol = shareProtocol({ ...SHARE_WORLD, rules });
    const found = searchRandomly(protocol, { runs: 2000, length: 60, seed: 5 });
    assert.ok(found.violations.length > 0);
  });
});
