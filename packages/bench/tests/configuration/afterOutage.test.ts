import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runAfterOutage } from '../../src/configuration/afterOutage.ts';

const FLEET = { hosts: 40, teams: 50, seed: 3, outageMs: 30_000 };

test('hosts come back to the platform spread out, and a change is in force within six seconds', async () => {
  // All hosts lose the platform in the same instant. If they also returned in the same instant, their
  // calls would be refused for their rate, or would slow the platform down for everybody.
  const spread = await runAfterOutage({ ...FLEET, isSpread: true });
  const lockstep = await runAfterOutage({ ...FLEET, isSpread: false });
  assert.ok(spread.inForceMs <= 6000 && spread.confirmedMs <= 6000, JSON.stringify(spread));
  assert.ok(spread.peakPer100Ms * 3 < lockstep.peakPer100Ms, JSON.stringify([spread, lockstep]));
});
