import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SlackDivider } from '@camphorvane/decisions';
import { ServiceRetryBudget } from '@camphorvane/decisions';

const ALLOWANCE = { ratio: 0.2, slack: 52, windowMs: 10_000 };

/** Equal parts for hosts that have run for a window. */
const equalParts = (hosts: number): SlackDivider => ({
  getShare: (_, slack) => ({ retries: slack / hosts, isSettled: true, hosts }),
});

// Guards against a retry storm while all servers of a service fail for ten seconds and every request
// is retried: the retries of all hosts together must stay within the allowance.
test('all hosts together stay within the allowance of a window', () => {
  const hosts = 6;
  const budgets = Array.from(
    { length: hosts },
    () => new ServiceRetryBudget(ALLOWANCE, equalParts(hosts)),
  );
  const perSecond = 10;
  let retries = 0;
  Array.from({ length: 10 * perSecond }, (_, i) => (i * 1_000) / perSecond).forEach((now) =>
    budgets.forEach((budget) => {
      budget.recordAttempt('s', now);
      while (budget.tryRetry('s', now)) retries += 1;
    }),
  );
  const requests = hosts * 10 * perSecond;
  assert.ok(retries <= ALLOWANCE.ratio * requests + ALLOWANCE.slack, `${retries}`);
  assert.ok(retries >= 0.5 * ALLOWANCE.ratio * requests, `${retries}`);
});

test('each host may send one retry, however many hosts share the slack', () => {
  const budget = new ServiceRetryBudget(ALLOWANCE, equalParts(400));
  assert.ok(budget.tryRetry('s', 0));
  assert.ok(!budget.tryRetry('s', 0));
});

test('one service does not use up the budget of another', () => {
  const budget = new ServiceRetryBudget(ALLOWANCE, equalParts(6));
  while (budget.tryRetry('bad', 0));
  assert.ok(budget.tryRetry('good', 0));
});

// Guards against a budget that accumulates only a few retries: a crashed server fails all its requests
// at once, and most would be refused although the window's allowance covers their retries.
test('the allowance of a window may be used at once, and returns after the window', () => {
  const budget = new ServiceRetryBudget(ALLOWANCE, equalParts(6));
  Array.from({ length: 100 }, (_, i) => i * 100).forEach((now) => budget.recordAttempt('s', now));
  const spendAll = (now: number): number => {
    const allowed = Array.from({ length: 100 }).filter(() => budget.tryRetry('s', now));
    return allowed.length;
  };
  const share = ALLOWANCE.slack / 6 + ALLOWANCE.ratio * 100;
  const spent = spendAll(10_000);
  assert.ok(spent > share * 0.8 && spent <= share, `${spent} of ${share}`);
  assert.equal(spendAll(15_000), 0);
  assert.ok(spendAll(20_500) >= Math.floor((ALLOWANCE.slack / 6) * 0.8));
});
