import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { ForwardEvent } from '@camphorvane/caller';
import { NO_OVERLOAD_POLICY } from '@camphorvane/core';
import { ResultAsync } from 'neverthrow';
import type { CallScript } from '../support/ForwardFleet.ts';
import { answeredCall, answerText, ForwardFleet } from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const CALL_MS = 60;

const slowCall: CallScript = () =>
  new ResultAsync(
    new Promise((resolve) => {
      setTimeout(() => resolve(answeredCall()), CALL_MS);
    }),
  );

interface Outcome {
  readonly served: number;
  /** Time after which each refused caller got its answer. */
  readonly refusedAfterMs: readonly number[];
  readonly retryAfterMs: readonly number[];
}

/** Sends calls at once, of which two servers with four slots run eight at a time. */
async function sendMany(fleet: ForwardFleet, count: number): Promise<Outcome> {
  const startedAt = performance.now();
  const results = await Promise.all(
    Array.from({ length: count }, async (_, i) => {
      const events: readonly ForwardEvent[] = await fleet.send(`/safe/${i}`, { work: undefined });
      return { events, tookMs: performance.now() - startedAt };
    }),
  );
  const refused = results.flatMap(({ events, tookMs }) => {
    const last = events.at(-1);
    return last?.type === 'refused' ? [{ refusal: last.refusal, tookMs }] : [];
  });
  refused.forEach(({ refusal }) => assert.equal(refusal.execution, 'not_run'));
  return {
    served: results.filter(({ events }) => answerText(events) === 'ok').length,
    refusedAfterMs: refused.map(({ tookMs }) => tookMs),
    retryAfterMs: refused.map(({ refusal }) => refusal.retryAfterMs ?? 0),
  };
}

// Guards against a switch that takes effect only after a restart, and against calls that are held for 600 ms, twice
// their target, and told 500 ms whatever the backlog is.
test('with admission switched on, calls that can not start in time are refused at once', async () => {
  const fleet = new ForwardFleet({ callScripts: { s1: slowCall, s2: slowCall } });
  await sendMany(fleet, 16);
  const off = await sendMany(fleet, 64);
  assert.equal(off.served, 64, JSON.stringify(off));
  fleet.setOverload({ ...NO_OVERLOAD_POLICY, admission: true });
  const on = await sendMany(fleet, 64);
  assert.ok(on.served >= 16 && on.served < 64, JSON.stringify(on));
  const early = on.refusedAfterMs.filter((ms) => ms < 250);
  assert.ok(early.length >= on.refusedAfterMs.length * 0.7, JSON.stringify(on));
  assert.ok(
    on.retryAfterMs.every((ms) => ms >= 10 && ms < 480),
    JSON.stringify(on),
  );
  fleet.setOverload(NO_OVERLOAD_POLICY);
  assert.equal((await sendMany(fleet, 64)).served, 64);
});
