import type { Millis } from '@camphorvane/core';
import type { RetryBudget, RetryBudgetState, ServiceRetryBudget } from '@camphorvane/decisions';
import type { RetryGate, RetryTarget } from '../host/ports.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { LogFields } from '../observe/LogFields.ts';
import type { Metrics } from '../observe/Metrics.ts';

const log = eventLog('retries');

/**
 * Limits retries by the budgets of the caller's team and of the upstream that failed.
 *
 * @param budget - The budgets of teams and upstreams.
 * @param metrics - Counts retries and refusals.
 * @returns The gate.
 */
export function teamRetryGate(budget: RetryBudget, metrics: Metrics): RetryGate {
  return {
    recordAttempt: ({ team }, upstreams, now) =>
      upstreams.forEach((upstream) => budget.recordAttempt(team, upstream, now)),
    tryRetry: ({ team, upstream, service }, now) =>
      counted(metrics, service, budget.tryRetry(team, upstream, now)),
    // The budgets of teams count retries, and not what arrives for one.
    tryPrefill: () => true,
    recordUncharged: () => undefined,
  };
}

/**
 * Limits retries by the budget of the service, which all hosts share.
 *
 * @param budget - The budgets of services.
 * @param metrics - Counts retries and refusals.
 * @returns The gate.
 */
export function serviceRetryGate(budget: ServiceRetryBudget, metrics: Metrics): RetryGate {
  const tryRetry = (target: RetryTarget, now: Millis): boolean => {
    const isCharged = budget.tryRetry(target.service, now);
    log(isCharged ? 'charged' : 'refused', fieldsOf(target, budget.inspect(target.service, now)));
    return counted(metrics, target.service, isCharged);
  };
  return {
    recordAttempt: ({ service }, _upstreams, now) => budget.recordAttempt(service, now),
    tryRetry,
    tryPrefill: tryRetry,
    recordUncharged: (service, arrival, now) => {
      budget.recordRetry(service, now);
      log('uncharged', { service, arrival });
      metrics.count('retries.uncharged', { service, arrival });
    },
  };
}

function counted(metrics: Metrics, service: string, isCharged: boolean): boolean {
  metrics.count(isCharged ? 'retries.charged' : 'retries.refused', { service });
  return isCharged;
}

function fieldsOf({ service, upstream }: RetryTarget, state: RetryBudgetState): LogFields {
  const { used, allowed, earned, slack } = state;
  const { hosts, isSettled, retries } = slack;
  const parts = { allowed: tenth(allowed), earned: tenth(earned), slack: tenth(retries) };
  return { service, upstream, used, ...parts, hosts, settled: isSettled };
}

function tenth(value: number): number {
  return Math.round(value * 10) / 10;
}
