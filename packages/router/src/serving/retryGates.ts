import type { ServiceRetryBudget, RetryBudget } from '@camphorvane/decisions';
import type { RepeatGate } from '../host/ports.ts';

/**
 * Limits retries by the budgets of the caller's team and of the upstream that failed.
 *
 * @param budget - The budgets of teams and upstreams.
 * @returns The gate.
 */
export function teamRetryGate(budget: RetryBudget): RepeatGate {
  return {
    attempted: ({ team }, upstreams, now) =>
      upstreams.forEach((upstream) => budget.recordAttempt(team, upstream, now)),
    tryRepeat: ({ team, upstream }, now) => budget.tryRetry(team, upstream, now),
  };
}

/**
 * Limits retries by the budget of the service, which all hosts share.
 *
 * @param budget - The budgets of services.
 * @returns The gate.
 */
export function serviceRetryGate(budget: ServiceRetryBudget): RepeatGate {
  return {
    attempted: ({ service }, _upstreams, now) => budget.recordAttempt(service, now),
    tryRepeat: ({ service }, now) => budget.tryRetry(service, now),
  };
}
