import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget } from '@camphorvane/decisions';

const spend = (budget: RetryBudget, team: string, upstream: string, tries: number): number =>
  [...Array(tries).keys()].filter(() => budget.tryRetry(team, upstream, 0)).length;

test('bounds the repeats while every attempt fails', () => {
  // An engine fails all it gets, and each failure asks for a repeat. Without a bound the repeats
  // double the load, and callers of healthy engines see their answers slow down as well.
  const budget = new RetryBudget({ perAttempt: 0.1, perSecond: 0, most: 5 });
  [...Array(100).keys()].forEach(() => budget.attempted('t', 'e', 0));
  assert.equal(spend(budget, 't', 'e', 100), 5);
  [...Array(20).keys()].forEach(() => budget.attempted('t', 'e', 0));
  assert.equal(spend(budget, 't', 'e', 100), 2);
});

test('keeps teams and upstreams apart, and takes nothing where one of them can not pay', () => {
  const budget = new RetryBudget({ perAttempt: 0, perSecond: 0, most: 2 });
  assert.equal(spend(budget, 'loud', 'e1', 5), 2);
  assert.equal(spend(budget, 'quiet', 'e1', 5), 0);
  assert.equal(spend(budget, 'quiet', 'e2', 5), 2);
});

test('forgets who has the full budget again', () => {
  const budget = new RetryBudget({ perAttempt: 0.1, perSecond: 1, most: 2 });
  [...Array(500).keys()].forEach((n) => budget.tryRetry(`t${n}`, `e${n}`, 0));
  [...Array(500).keys()].forEach((n) => budget.attempted('t', 'e', 60_000 + n));
  assert.ok(budget.size <= 2, `${budget.size} remembered`);
});
