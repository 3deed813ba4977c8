import type { RepeatBudget, RetryBudget } from '@camphorvane/decisions';
import type { RepeatGate } from '../host/ports.ts';

/**
 * Bounds repeats by the team that asks and the upstream that failed.
 *
 * @param budget - The budget of both.
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
 * Bounds repeats by the service that all hosts send to.
 *
 * @param budget - The budget of the service.
 * @returns The gate.
 */
export function serviceRepeats(budget: RepeatBudget): RepeatGate {
  return {
    attempted: ({ service }, _upstreams, now) => budget.attempted(service, now),
    tryRepeat: ({ service }, now) => budget.tryRepeat(service, now),
  };
}
