import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RepeatBudget } from '@camphorvane/decisions';

const ALLOWANCE = { ratio: 0.2, slack: 52, windowMs: 10_000 };

// All servers of a service fail for ten seconds, and every request would be sent once more. The
// repeats of all hosts together must stay within what the service can bear beside the requests.
test('hosts together repeat no more than they may in a window', () => {
  const hosts = 6;
  const budgets = Array.from({ length: hosts }, () => new RepeatBudget(ALLOWANCE, () => hosts));
  const perSecond = 10;
  let repeats = 0;
  Array.from({ length: 10 * perSecond }, (_, i) => (i * 1_000) / perSecond).forEach((now) =>
    budgets.forEach((budget) => {
      budget.attempted('s', now);
      while (budget.tryRepeat('s', now)) repeats += 1;
    }),
  );
  const requests = hosts * 10 * perSecond;
  assert.ok(repeats <= ALLOWANCE.ratio * requests + ALLOWANCE.slack, `${repeats}`);
  assert.ok(repeats >= 0.5 * ALLOWANCE.ratio * requests, `${repeats}`);
});

test('one repeat can be saved up however many hosts share the slack', () => {
  const budget = new RepeatBudget(ALLOWANCE, () => 400);
  assert.ok(budget.tryRepeat('s', 0));
  assert.ok(!budget.tryRepeat('s', 0));
});

test('one service can not spend what another one needs', () => {
  const budget = new RepeatBudget(ALLOWANCE, () => 6);
  while (budget.tryRepeat('bad', 0));
  assert.ok(budget.tryRepeat('good', 0));
});

// A crashed server ends all that ran on it at the same moment. Repeats that were saved up for only a
// few of these requests would leave the rest refused, although the allowance of the window is there.
test('what a window allows may be spent in one moment, and comes back when it has passed', () => {
  const budget = new RepeatBudget(ALLOWANCE, () => 6);
  Array.from({ length: 100 }, (_, i) => i * 100).forEach((now) => budget.attempted('s', now));
  const spend = (now: number): number => {
    const paid = Array.from({ length: 100 }).filter(() => budget.tryRepeat('s', now));
    return paid.length;
  };
  const part = ALLOWANCE.slack / 6 + ALLOWANCE.ratio * 100;
  const spent = spend(10_000);
  assert.ok(spent > part * 0.8 && spent <= part, `${spent} of ${part}`);
  assert.equal(spend(15_000), 0);
  assert.ok(spend(20_500) >= Math.floor((ALLOWANCE.slack / 6) * 0.8));
});
