import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { ServiceQueue } from '@camphorvane/decisions';

const SERVERS = ['s1', 's2', 's3'];
const SERVER_CONCURRENCY = 6;
const CALL_MS: Millis = 60;
const TARGET_MS: Millis = 300;
const ON_TIME_MS: Millis = TARGET_MS - CALL_MS;
const STEP_MS: Millis = 2;
const TEAMS = 8;

interface Outcome {
  readonly submitted: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
}

/** Simulates a one-second burst of twice the servers' capacity between spans of lower load. */
function simulate(maxWaitMs: Millis, areLateLast: boolean): Outcome {
  const gate = new ServiceQueue(new RandomSource(3));
  gate.reconfigure(SERVERS.map((id) => ({ id, limit: SERVER_CONCURRENCY })));
  const random = new RandomSource(5);
  const submittedAt = new Map<string, Millis>();
  const teams = new Map<string, string>();
  const ends: { readonly at: Millis; readonly server: string; readonly team: string }[] = [];
  let arrivals = 0;
  let outcome: Outcome = { submitted: 0, onTime: 0, late: 0, refused: 0 };
  Array.from({ length: 4_000 / STEP_MS }, (_, i) => i * STEP_MS).forEach((now) => {
    const perSecond = now >= 1_000 && now < 2_000 ? 600 : 200;
    arrivals += now < 3_000 ? (perSecond * STEP_MS) / 1_000 : 0;
    const due = Math.floor(arrivals);
    arrivals -= due;
    ends
      .filter(({ at }) => at === now)
      .forEach(({ server, team }) => gate.callEnded(team, server, false, now));
    Array.from({ length: due }).forEach((_, i) => {
      const request = `${now}.${i}`;
      submittedAt.set(request, now);
      outcome = { ...outcome, submitted: outcome.submitted + 1 };
      const lateAt = areLateLast ? now + ON_TIME_MS : undefined;
      const team = `t${random.int(0, TEAMS - 1)}`;
      teams.set(request, team);
      const call = { request, team, class: 'lookup', maxWaitMs, lateAt, avoid: [] } as const;
      if (gate.submit(call, now) !== undefined) {
        outcome = { ...outcome, refused: outcome.refused + 1 };
      }
    });
    gate.step(now).forEach((decision) => {
      if (decision.type === 'refuse') {
        outcome = { ...outcome, refused: outcome.refused + 1 };
        return;
      }
      const team = teams.get(decision.request) ?? '';
      ends.push({ at: now + CALL_MS, server: decision.server, team });
      const waitedMs = now - (submittedAt.get(decision.request) ?? now);
      const isOnTime = waitedMs + CALL_MS <= TARGET_MS;
      outcome = isOnTime
        ? { ...outcome, onTime: outcome.onTime + 1 }
        : { ...outcome, late: outcome.late + 1 };
    });
  });
  return outcome;
}

// Guards against a burst in which every call waits behind late ones, so that hardly any is on time.
test('in a burst, calls that can be on time go first, with no more refusals than in arrival order', () => {
  const inOrder = simulate(TARGET_MS, false);
  const lateLast = simulate(TARGET_MS * 2, true);
  const outcomes = JSON.stringify({ inOrder, lateLast });
  assert.ok(lateLast.onTime >= inOrder.onTime * 1.3, outcomes);
  assert.ok(lateLast.refused <= inOrder.refused * 1.1, outcomes);
});
