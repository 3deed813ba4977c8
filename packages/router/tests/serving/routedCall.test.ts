import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServiceConfig } from '@camphorvane/core';
import { ANONYMOUS_CALLER, serviceCallOf } from '../../src/serving/routedCall.ts';
import type { RoutedCall } from '../../src/serving/routedCall.ts';
import { ExecutionCount } from '../../src/serving/ExecutionCount.ts';

// Guards against first attempts that count as retries which return too early, since they have waited a millisecond.
test('what a request has waited makes it late sooner, but no retry', () => {
  const call = {
    ...{ id: 'r', caller: ANONYMOUS_CALLER, deadlineAt: 2_000, ageMs: 0, waitedMs: 100 },
    req: { work: undefined },
    route: { kind: 'idempotent', targetMs: 400, priority: 1, maxAttempts: 2, pathPrefix: '/a/' },
    executions: new ExecutionCount(),
  } as unknown as RoutedCall;
  const { signal } = new AbortController();
  const { policy } = serviceCallOf(call, {} as ServiceConfig, 1_000, signal);
  assert.equal(policy.callerTimes?.ageMs, 0);
  assert.equal(policy.retry?.ageMs, 0);
  assert.equal(policy.lateAt, 1_180);
});
