import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import { Backoff, BudgetedStore, CallBudget } from '@camphorvane/store';
import { MemoryObjectStore } from '@camphorvane/stand-ins';
import { errorOf } from './support/results.ts';
import { advanceUntilSettled } from './support/advanceUntilSettled.ts';

const RATES = { readsPerSecond: 8, writesPerSecond: 2 };

const drain = (budget: CallBudget, take: () => boolean): number =>
  take() ? 1 + drain(budget, take) : 0;

test('status calls are refused first and membership can use the last call', () => {
  // A host makes many claim and status calls when its group changes. With an exhausted budget it could
  // not confirm its epoch and would refuse every caller.
  const budget = new CallBudget(new VirtualClock(), RATES);
  const used = (priority: 'status' | 'claims' | 'config' | 'membership'): number =>
    drain(budget, () => budget.take('write', priority).isOk());
  assert.deepEqual(
    [used('status'), used('claims'), used('config'), used('membership')],
    [4, 2, 1, 1],
  );
});

test('a call over the budget is refused at once with the time after which it would fit', async () => {
  const clock = new VirtualClock();
  const budget = new CallBudget(clock, RATES);
  drain(budget, () => budget.take('write', 'claims').isOk());
  const refused = errorOf(budget.take('write', 'claims'));
  assert.deepEqual(refused, { type: 'over_budget', retryAfterMs: 500 });
  await clock.advance(500);
  assert.ok(budget.take('write', 'claims').isOk());
});

test('after a 429 of the platform only membership calls continue', async () => {
  // The hosts together exceed the rate limit. If only the refused component paused, the others of the
  // same host would continue and slow every client of the platform.
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  const budget = new CallBudget(clock, RATES);
  const claims = new BudgetedStore(store, budget, 'claims');
  store.setFaults({ readsPerSecond: 0 });
  await advanceUntilSettled(clock, claims.get('claim', 'a'));
  store.setFaults({ readsPerSecond: 2000 });
  const config = await advanceUntilSettled(
    clock,
    new BudgetedStore(store, budget, 'config').get('config', 'root'),
  );
  assert.equal(errorOf(config).type, 'over_budget');
  const membership = await advanceUntilSettled(
    clock,
    new BudgetedStore(store, budget, 'membership').get('group', 'g'),
  );
  assert.ok(membership.isOk());
  await clock.advance(1000);
  assert.ok((await advanceUntilSettled(clock, claims.get('claim', 'a'))).isOk());
});

test('a change of rates adds no tokens', () => {
  const budget = new CallBudget(new VirtualClock(), RATES);
  drain(budget, () => budget.take('write', 'membership').isOk());
  budget.setRates({ readsPerSecond: 800, writesPerSecond: 200 });
  assert.equal(budget.getRemaining('write'), 0);
});

test('a refusal by the own budget does not pause other components', async () => {
  const clock = new VirtualClock();
  const budget = new CallBudget(clock, RATES);
  drain(budget, () => budget.take('read', 'status').isOk());
  await new BudgetedStore(new MemoryObjectStore(clock), budget, 'status').get('a', 'b');
  assert.ok(budget.take('read', 'claims').isOk());
});

test('back-off delays double up to their bound, differ between hosts and reset after a success', () => {
  const delays = (seed: number): readonly number[] => {
    const backoff = new Backoff(new RandomSource(seed), { baseMs: 100, maxMs: 1000 });
    return Array.from({ length: 8 }, () => backoff.nextDelayMs());
  };
  const bounds = [100, 200, 400, 800, 1000, 1000, 1000, 1000];
  assert.ok(delays(1).every((delay, i) => delay <= bounds[i]! && delay >= bounds[i]! / 4));
  assert.notDeepEqual(delays(1), delays(2));
  const backoff = new Backoff(new RandomSource(3), { baseMs: 100, maxMs: 1000 });
  backoff.nextDelayMs();
  backoff.reset();
  assert.ok(backoff.nextDelayMs() <= 100);
});

test('a busy host may exceed its share while the platform accepts all calls', async () => {
  // One caller stays with one host and issues more certificates than that host's share of the
  // platform's writes allows. It must not be refused while the fleet as a whole makes few writes.
  const clock = new VirtualClock();
  const budget = new CallBudget(clock, RATES);
  const take = (): boolean => budget.take('write', 'membership').isOk();
  await clock.advance(20_000);
  drain(budget, take);
  await clock.advance(1_000);
  assert.equal(drain(budget, take), 8);
  budget.pause(0);
  await clock.advance(1_000);
  assert.equal(drain(budget, take), 2);
});
