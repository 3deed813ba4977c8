import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SchedulerDecision } from '@camphorvane/decisions';
import { pool, scheduler, work } from './support/pool.ts';

const requests = (decisions: readonly SchedulerDecision[], type: string): readonly string[] =>
  decisions.filter((decision) => decision.type === type).map((decision) => decision.request);

test('places on both pools and frees the memory once, however often it is released', () => {
  const pools = scheduler(pool(1, 1, 2));
  ['a', 'b', 'c'].forEach((id) => pools.submit(work(id, { class: 'lookup' }), 0));
  const first = pools.step(0);
  assert.deepEqual(requests(first, 'place'), ['a', 'b']);
  pools.prefillEnded('r-1', 10);
  pools.release('r-1', 'done', 20);
  pools.release('r-1', 'done', 20);
  assert.deepEqual(requests(pools.step(20), 'place'), ['c']);
  assert.equal(pools.reservationCount, 2);
});

test('reclaims the memory of a holder that died', () => {
  // The host that serves the caller dies; nobody renews what it reserved. Without the expiry the
  // callers after it would wait for memory that never comes back.
  const pools = scheduler(pool(1, 1, 1));
  pools.submit(work('a'), 0);
  pools.submit(work('b'), 0);
  assert.deepEqual(requests(pools.step(0), 'place'), ['a']);
  assert.equal(pools.nextWake(0), 3_000);
  assert.deepEqual(requests(pools.step(3_000), 'reclaim'), ['a']);
  assert.equal(pools.renew('r-1', 3_100), false);
  assert.deepEqual(requests(pools.step(3_250), 'place'), ['b']);
});

test('gives a repeated submission the same place', () => {
  // The answer to a host's first message is lost and it sends the request again. A second place
  // would hold memory that nobody releases.
  const pools = scheduler(pool(1, 1));
  pools.submit(work('a'), 0);
  const first = pools.step(0);
  pools.submit(work('a'), 5);
  assert.deepEqual(pools.step(5), first);
  assert.equal(pools.reservationCount, 1);
});

test('refuses a lookup when its target has become unreachable, and says that it did not run', () => {
  // All memory is held by long work. A caller with a truck in the yard should hear at the target's
  // end that nothing ran, and when to come back; it must not wait for the summary.
  const pools = scheduler(pool(1, 1, 1));
  pools.submit(work('long'), 0);
  pools.step(0);
  pools.submit(work('lookup', { class: 'lookup', maxWaitMs: 5_000 }), 0);
  pools.submit(work('patient'), 0);
  const [refused] = pools.step(730);
  assert.ok(refused?.type === 'refuse');
  assert.equal(refused.request, 'lookup');
  assert.equal(refused.refusal.execution, 'not_run');
  assert.ok((refused.refusal.retryAfterMs ?? 0) > 0);
  assert.equal(pools.waitingCount, 1);
});

test('refuses at once what has failed on every engine, and lets its team go on', () => {
  // A request has failed on the only decode engine and is sent again with that engine to be avoided.
  // Left waiting, it would hold up everything its team sends after it.
  const pools = scheduler(pool(2, 1));
  pools.submit(work('again', { avoid: ['d0'] }), 0);
  pools.submit(work('next'), 0);
  const decisions = pools.step(0);
  assert.deepEqual(requests(decisions, 'refuse'), ['again']);
  assert.deepEqual(requests(decisions, 'place'), ['next']);
});

test('refuses at once what no engine could ever hold', () => {
  const pools = scheduler(pool(1, 1, 2));
  pools.submit(work('huge', { promptTokens: 9_000 }), 0);
  assert.deepEqual(requests(pools.step(0), 'refuse'), ['huge']);
});
