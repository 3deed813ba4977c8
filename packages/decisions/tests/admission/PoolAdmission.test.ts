import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import type { AdmissionEvent, WorkItem } from '@camphorvane/decisions';
import { FairPoolScheduler } from '@camphorvane/decisions';
import { pool, work } from '../support/pool.ts';

const HOLD_MS: Millis = 400;
const STEP_MS: Millis = 10;

interface Outcome {
  readonly placed: number;
  readonly refused: number;
  /** Refusals of requests that had waited. */
  readonly refusedAfterWait: number;
  /** Mean wait of refused requests. */
  readonly refusedAfterMs: Millis;
  readonly events: readonly AdmissionEvent[];
}

/** Simulates a pool with twelve decode pieces; the load is a multiple of what it can place. */
function simulate(
  isAdmissionOn: boolean,
  loadAt: (at: Millis) => number,
  change: Partial<WorkItem>,
): Outcome {
  const events: AdmissionEvent[] = [];
  const scheduler = new FairPoolScheduler(pool(2, 1, 12), {
    random: new RandomSource(1),
    reservationPrefix: 'r',
    controls: { isAdmissionOn: () => isAdmissionOn, report: (event) => events.push(event) },
  });
  const submittedAt = new Map<string, Millis>();
  const ends: { readonly at: Millis; readonly reservation: string }[] = [];
  const waits: Millis[] = [];
  let [due, placed] = [0, 0];
  Array.from({ length: 800 }, (_, i) => i * STEP_MS).forEach((now) => {
    ends
      .filter(({ at }) => at === now)
      .forEach(({ reservation }) => {
        scheduler.prefillEnded(reservation, now);
        scheduler.release(reservation, 'done', now);
      });
    due += now < 6_000 ? (loadAt(now) * 12 * STEP_MS) / HOLD_MS : 0;
    while (due >= 1) {
      due -= 1;
      const request = `q${submittedAt.size}`;
      submittedAt.set(request, now);
      scheduler.submit(work(request, { team: `t${submittedAt.size % 4}`, ...change }), now);
    }
    scheduler.step(now).forEach((decision) => {
      if (decision.type === 'place') {
        placed += 1;
        ends.push({ at: now + HOLD_MS, reservation: decision.reservation });
      }
      if (decision.type === 'refuse') waits.push(now - (submittedAt.get(decision.request) ?? now));
    });
  });
  const refusedAfterMs = waits.reduce((sum, ms) => sum + ms, 0) / Math.max(1, waits.length);
  const refusedAfterWait = waits.filter((ms) => ms > 0).length;
  return { placed, refused: waits.length, refusedAfterWait, refusedAfterMs, events };
}

const burst = (at: Millis): number => (at > 1_000 && at < 4_000 ? 4 : 0.5);

// Guards against certificates that are held for their whole longest wait in a burst before they are refused.
test('in a burst certificates are refused early, and as many are placed', () => {
  const change = { class: 'certificate', maxWaitMs: 1_500 } as const;
  const off = simulate(false, burst, change);
  const on = simulate(true, burst, change);
  const outcomes = JSON.stringify([off, { ...on, events: on.events.length }]);
  assert.ok(on.placed >= off.placed * 0.95, outcomes);
  assert.ok(on.refusedAfterMs <= 300 && off.refusedAfterMs >= 1_000, outcomes);
  const refused = on.events.filter(({ type }) => type === 'refused').length;
  assert.ok(refused >= on.refused * 0.9, outcomes);
});

test('in a burst lookups that can not start in time are refused early', () => {
  const off = simulate(false, burst, { class: 'lookup' });
  const on = simulate(true, burst, { class: 'lookup' });
  const outcomes = JSON.stringify([off, { ...on, events: on.events.length }]);
  assert.ok(on.placed >= off.placed * 0.95, outcomes);
  assert.ok(on.refusedAfterMs <= off.refusedAfterMs, outcomes);
});

// Guards against summaries that are refused although they may wait for long.
test('summaries wait through a burst', () => {
  const outcome = simulate(true, burst, { class: 'summary', maxWaitMs: 120_000 });
  assert.equal(outcome.refused, 0);
});
