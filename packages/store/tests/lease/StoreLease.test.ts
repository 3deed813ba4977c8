import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Clock } from '@camphorvane/core';
import { VirtualClock } from '@camphorvane/core';
import { StoreLease } from '@camphorvane/store';
import { SingleObjectStore } from '../support/SingleObjectStore.ts';
import { SuspendableClock } from '../support/SuspendableClock.ts';

const LEASE_MS = 3_000;

function leaseOf(
  store: SingleObjectStore,
  clock: Clock,
  holder: string,
  incarnation = 's',
): StoreLease {
  const options = { store, clock, holder, incarnation, kind: 'leases', name: 'roles' };
  return new StoreLease({ ...options, leaseMs: LEASE_MS });
}

async function isHeldWithin(lease: StoreLease, clock: VirtualClock, ms: number): Promise<boolean> {
  const rounds = Array.from({ length: ms / 500 }, (_, i) => i);
  return rounds.reduce(async (before) => {
    if (await before) return true;
    await clock.advance(500);
    return (await lease.acquireOrRenew()).type === 'held';
  }, Promise.resolve(false));
}

test('the first host acquires the lease at once and keeps it by renewal', async () => {
  const clock = new VirtualClock();
  const lease = leaseOf(new SingleObjectStore(), clock, 'a');
  assert.deepEqual(await lease.acquireOrRenew(), { type: 'held', fence: 41 });
  await clock.advance(2_000);
  assert.deepEqual(await lease.acquireOrRenew(), { type: 'held', fence: 42 });
});

test('a lease that is not renewed expires', async () => {
  const clock = new VirtualClock();
  const lease = leaseOf(new SingleObjectStore(), clock, 'a');
  await lease.acquireOrRenew();
  assert.equal(lease.getFencingToken(), 41);
  await clock.advance(LEASE_MS);
  assert.equal(lease.getFencingToken(), undefined);
});

// The holder crashes right after its write. Another host must take over, but not within one lease
// duration of the last time at which the crashed host may have acted.
test('another host takes over one lease duration after the previous holder could last act', async () => {
  const store = new SingleObjectStore();
  const clock = new VirtualClock();
  const first = leaseOf(store, clock, 'a');
  const second = leaseOf(store, clock, 'b');
  await first.acquireOrRenew();
  let lastActedAt = 0;
  const recordAction = (): void => {
    if (first.getFencingToken() !== undefined) lastActedAt = clock.now();
  };
  const rounds = Array.from({ length: 40 }, (_, i) => i);
  const heldAt = await rounds.reduce<Promise<number | undefined>>(async (before) => {
    const found = await before;
    if (found !== undefined) return found;
    await clock.advance(250);
    recordAction();
    return (await second.acquireOrRenew()).type === 'held' ? clock.now() : undefined;
  }, Promise.resolve(undefined));
  assert.ok(heldAt !== undefined, 'no host acquired the lease');
  assert.ok(heldAt - lastActedAt >= LEASE_MS, `${heldAt - lastActedAt} ms apart`);
  assert.ok((second.getFencingToken() ?? 0) > 41);
});

test('a holder that renews is never replaced', async () => {
  const store = new SingleObjectStore();
  const clock = new VirtualClock();
  const [first, second] = [leaseOf(store, clock, 'a'), leaseOf(store, clock, 'b')];
  const rounds = Array.from({ length: 60 }, (_, i) => i);
  await rounds.reduce(async (before) => {
    await before;
    assert.equal((await first.acquireOrRenew()).type, 'held');
    assert.equal((await second.acquireOrRenew()).type, 'not_held');
    await clock.advance(500);
  }, Promise.resolve());
});

// The holder's process is suspended and another host takes the lease. The holder's monotonic clock
// does not advance during the suspension, so only the wall clock shows that the lease has expired.
test('a host that was suspended does not act on its expired lease', async () => {
  const store = new SingleObjectStore();
  const real = new VirtualClock();
  const own = new SuspendableClock(real);
  const first = leaseOf(store, own, 'a');
  await first.acquireOrRenew();
  await real.advance(7_000);
  own.suspendedMs = 7_000;
  assert.equal(first.getFencingToken(), undefined);
  assert.equal(await isHeldWithin(leaseOf(store, real, 'b'), real, 20_000), true);
  assert.equal((await first.acquireOrRenew()).type, 'not_held');
});

// The wall clock of the holder's machine is stepped. The lease must not be used until it is renewed,
// and is then held as before.
test('a step of the wall clock requires a renewal and does not lose the lease', async () => {
  const store = new SingleObjectStore();
  const real = new VirtualClock();
  const own = new SuspendableClock(real);
  const lease = leaseOf(store, own, 'a');
  await lease.acquireOrRenew();
  own.wallStepMs = 2_400;
  assert.equal(lease.getFencingToken(), undefined);
  assert.equal((await lease.acquireOrRenew()).type, 'held');
});

// The response to a write is lost after the write took effect. The host must recognize the stored
// write as its own.
test('a write whose response was lost is recognized by the next call', async () => {
  const store = new SingleObjectStore();
  const clock = new VirtualClock();
  const lease = leaseOf(store, clock, 'a');
  store.losesResponses = true;
  assert.deepEqual(await lease.acquireOrRenew(), { type: 'not_held', reason: 'store_away' });
  store.losesResponses = false;
  assert.equal((await lease.acquireOrRenew()).type, 'held');
});

test('while the store is unavailable no host acts after the lease has expired', async () => {
  const store = new SingleObjectStore();
  const clock = new VirtualClock();
  const lease = leaseOf(store, clock, 'a');
  await lease.acquireOrRenew();
  store.isDown = true;
  await clock.advance(2_000);
  assert.equal((await lease.acquireOrRenew()).type, 'not_held');
  await clock.advance(1_000);
  assert.equal(lease.getFencingToken(), undefined);
});

test('a new incarnation of the same host renews the lease at once', async () => {
  const store = new SingleObjectStore();
  const clock = new VirtualClock();
  await leaseOf(store, clock, 'a', 's1').acquireOrRenew();
  assert.equal((await leaseOf(store, clock, 'a', 's2').acquireOrRenew()).type, 'held');
});

test('a lease object with an unknown format is taken over after the lease duration', async () => {
  const store = new SingleObjectStore();
  const clock = new VirtualClock();
  store.object = { kind: 'leases', name: 'roles', version: 7, value: 'garbage' };
  const lease = leaseOf(store, clock, 'a');
  assert.equal((await lease.acquireOrRenew()).type, 'not_held');
  assert.equal(await isHeldWithin(lease, clock, 20_000), true);
});
