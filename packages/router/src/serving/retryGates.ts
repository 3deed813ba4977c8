import type { ServiceRetryBudget, RetryBudget } from '@camphorvane/decisions';
import type { RetryGate } from '../host/ports.ts';

/**
 * Limits retries by the budgets of the caller's team and of the upstream that failed.
 *
 * @param budget - The budgets of teams and upstreams.
 * @returns The gate.
 */
export function teamRetryGate(budget: RetryBudget): RetryGate {
  return {
    recordAttempt: ({ team }, upstreams, now) =>
      upstreams.forEach((upstream) => budget.recordAttempt(team, upstream, now)),
    tryRetry: ({ team, upstream }, now) => budget.tryRetry(team, upstream, now),
  };
}

/**
 * Limits retries by the budget of the service, which all hosts share.
 *
 * @param budget - The budgets of services.
 * @returns The gate.
 */
export function serviceRetryGate(budget: ServiceRetryBudget): RetryGate {
  return {
    recordAttempt: ({ service }, _upstreams, now) => budget.recordAttempt(service, now),
    tryRetry: ({ service }, now) => budget.tryRetry(service, now),
  };
}
