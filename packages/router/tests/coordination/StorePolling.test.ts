import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import { HostRoster } from '../../src/coordination/HostRoster.ts';
import { StorePolling } from '../../src/coordination/StorePolling.ts';

const DIGEST = { host: 'relay', silent: [], leaving: [], serving: ['relay'] };

/** Longer than the digest of a relay is taken for recent. */
const SILENCE_MS = 60_000;

// Guards against a list of engines that a polling host takes for current although no peer watches the store.
test('the store is watched while a relay that reaches it has been heard of lately', async () => {
  const clock = new VirtualClock();
  const roster = new HostRoster('a', 'a');
  const polling = new StorePolling('a', clock, new RandomSource(1), roster);
  assert.equal(polling.isWatched(), false, 'no relay has been heard of');
  roster.receiveDigest({ ...DIGEST, unwatched: true }, clock.now());
  assert.equal(polling.isWatched(), false, 'no relay reaches the store');
  roster.receiveDigest(DIGEST, clock.now());
  assert.equal(polling.isWatched(), true);
  await clock.advance(SILENCE_MS);
  assert.equal(polling.isWatched(), false, 'the relays have fallen silent');
});
