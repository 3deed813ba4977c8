import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget } from '@camphorvane/decisions';

const spend = (budget: RetryBudget, team: string, upstream: string, tries: number): number =>
  [...Array(tries).keys()].filter(() => budget.tryRetry(team, upstream, 0)).length;

test('limits the retries while every attempt fails', () => {
  // Guards against a retry storm: an engine fails every request and each failure asks for a retry.
  // Without a limit the retries double the load and slow down callers of healthy engines.
  const budget = new RetryBudget({ perAttempt: 0.1, perSecond: 0, capacity: 5 });
  [...Array(100).keys()].forEach(() => budget.recordAttempt('t', 'e', 0));
  assert.equal(spend(budget, 't', 'e', 100), 5);
  [...Array(20).keys()].forEach(() => budget.recordAttempt('t', 'e', 0));
  assert.equal(spend(budget, 't', 'e', 100), 2);
});

test('keeps teams and upstreams apart, and charges neither if one budget is exhausted', () => {
  const budget = new RetryBudget({ perAttempt: 0, perSecond: 0, capacity: 2 });
  assert.equal(spend(budget, 'loud', 'e1', 5), 2);
  assert.equal(spend(budget, 'quiet', 'e1', 5), 0);
  assert.equal(spend(budget, 'quiet', 'e2', 5), 2);
});

test('drops teams and upstreams that have the full budget again', () => {
  const budget = new RetryBudget({ perAttempt: 0.1, perSecond: 1, capacity: 2 });
  [...Array(500).keys()].forEach((n) => budget.tryRetry(`t${n}`, `e${n}`, 0));
  [...Array(500).keys()].forEach((n) => budget.recordAttempt('t', 'e', 60_000 + n));
  assert.ok(budget.size <= 2, `${budget.size} tracked`);
});
