import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SchedulerDecision } from '@camphorvane/decisions';
import { pool, scheduler, work } from './support/pool.ts';

const requestsOf = (decisions: readonly SchedulerDecision[], type: string): readonly string[] =>
  decisions.filter((decision) => decision.type === type).map((decision) => decision.request);

test('places on both roles and frees the memory once if a release is repeated', () => {
  const poolScheduler = scheduler(pool(1, 1, 2));
  ['a', 'b', 'c'].forEach((id) => poolScheduler.submit(work(id, { class: 'lookup' }), 0));
  const first = poolScheduler.step(0);
  assert.deepEqual(requestsOf(first, 'place'), ['a', 'b']);
  poolScheduler.prefillEnded('r-1', 10);
  poolScheduler.release('r-1', 'done', 20);
  poolScheduler.release('r-1', 'done', 20);
  assert.deepEqual(requestsOf(poolScheduler.step(20), 'place'), ['c']);
  assert.equal(poolScheduler.reservationCount, 2);
});

test('reclaims the memory of a holder that failed', () => {
  // Guards against leaked memory: no host renews the reservations of a failed one, and without an expiry
  // later requests would wait for their memory forever.
  const poolScheduler = scheduler(pool(1, 1, 1));
  poolScheduler.submit(work('a'), 0);
  poolScheduler.submit(work('b'), 0);
  assert.deepEqual(requestsOf(poolScheduler.step(0), 'place'), ['a']);
  assert.equal(poolScheduler.nextWake(0), 3_000);
  assert.deepEqual(requestsOf(poolScheduler.step(3_000), 'reclaim'), ['a']);
  assert.equal(poolScheduler.renew('r-1', 3_100), false);
  assert.deepEqual(requestsOf(poolScheduler.step(3_250), 'place'), ['b']);
});

test('gives a repeated submission the same placement', () => {
  // The answer to a submission is lost and the host submits the request again: a second placement would
  // reserve memory that no host releases.
  const poolScheduler = scheduler(pool(1, 1));
  poolScheduler.submit(work('a'), 0);
  const first = poolScheduler.step(0);
  poolScheduler.submit(work('a'), 5);
  assert.deepEqual(poolScheduler.step(5), first);
  assert.equal(poolScheduler.reservationCount, 1);
});

test('refuses a lookup that can no longer meet its target, with execution not_run', () => {
  // A long request holds all memory. By the end of the target the caller must get a refusal that says
  // when to retry; it must not wait for the long request.
  const poolScheduler = scheduler(pool(1, 1, 1));
  poolScheduler.submit(work('long'), 0);
  poolScheduler.step(0);
  poolScheduler.submit(work('lookup', { class: 'lookup', maxWaitMs: 5_000 }), 0);
  poolScheduler.submit(work('patient'), 0);
  const [refused] = poolScheduler.step(730);
  assert.ok(refused?.type === 'refuse');
  assert.equal(refused.request, 'lookup');
  assert.equal(refused.refusal.execution, 'not_run');
  assert.ok((refused.refusal.retryAfterMs ?? 0) > 0);
  assert.equal(poolScheduler.queuedCount, 1);
});

test('refuses at once a request that failed on every engine, so that it does not block its team', () => {
  // A request has failed on the only decode engine and is retried with that engine excluded. In the
  // queue it would block the later requests of its team.
  const poolScheduler = scheduler(pool(2, 1));
  poolScheduler.submit(work('again', { avoid: ['d0'] }), 0);
  poolScheduler.submit(work('next'), 0);
  const decisions = poolScheduler.step(0);
  assert.deepEqual(requestsOf(decisions, 'refuse'), ['again']);
  assert.deepEqual(requestsOf(decisions, 'place'), ['next']);
});

test('refuses at once a request that exceeds the memory of every engine', () => {
  const poolScheduler = scheduler(pool(1, 1, 2));
  poolScheduler.submit(work('huge', { promptTokens: 9_000 }), 0);
  assert.deepEqual(requestsOf(poolScheduler.step(0), 'refuse'), ['huge']);
});
