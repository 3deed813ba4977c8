import type { RepeatBudget, RetryBudget } from '@camphorvane/decisions';
import type { RepeatGate } from '../host/ports.ts';

/**
 * Limits retries by the budgets of the caller's team and of the upstream that failed.
 *
 * @param budget - The budgets of teams and upstreams.
 * @returns The gate.
 */
export function teamRepeats(budget: RetryBudget): RepeatGate {
  return {
    attempted: ({ team }, upstreams, now) =>
      upstreams.forEach((upstream) => budget.attempted(team, upstream, now)),
    tryRepeat: ({ team, upstream }, now) => budget.tryRetry(team, upstream, now),
  };
}

/**
 * Limits retries by the budget of the service, which all hosts share.
 *
 * @param budget - The budgets of services.
 * @returns The gate.
 */
export function serviceRepeats(budget: RepeatBudget): RepeatGate {
  return {
    attempted: ({ service }, _upstreams, now) => budget.attempted(service, now),
    tryRepeat: ({ service }, now) => budget.tryRepeat(service, now),
  };
}
