import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Opening, ServiceQueueCall, ServiceQueueServer } from '@camphorvane/decisions';
import { ServiceQueue } from '@camphorvane/decisions';

const call = (request: string, more: Partial<ServiceQueueCall> = {}): ServiceQueueCall => ({
  ...{ request, team: 't', class: 'lookup', maxWaitMs: 700, avoid: [] },
  ...more,
});

const limited = (id: string, allowance: number, openings: readonly Opening[]) =>
  ({ id, limit: 6, allowance, openings, isReluctant: true }) satisfies ServiceQueueServer;

/** Gets the decisions for some calls as texts such as `a: s1` or `a: 900 ms`. */
function decide(servers: readonly ServiceQueueServer[], calls: readonly ServiceQueueCall[]) {
  const queue = new ServiceQueue();
  queue.reconfigure(servers);
  calls.forEach((one) => queue.submit(one, 0));
  const decisions = queue.step(0);
  const texts = decisions.map((one) =>
    one.type === 'place'
      ? `${one.request}: ${one.server}`
      : `${one.request}: ${one.refusal.code} ${one.refusal.retryAfterMs} ms`,
  );
  return { queue, texts };
}

// Guards against load on a server in need while another one has free capacity.
test('calls go to other servers before one that takes few', () => {
  const openings = [{ at: 0, requests: 2 }];
  const servers = [limited('s1', 2, openings), { id: 's2', limit: 2 }];
  const { texts } = decide(
    servers,
    ['a', 'b', 'c'].map((one) => call(one)),
  );
  assert.deepEqual(texts, ['a: s2', 'b: s2', 'c: s1']);
});

// Guards against callers that wait for their deadline although no server will take their call.
test('calls that no server takes in time are refused at once, with the time at which one does', () => {
  const openings = [
    { at: 0, requests: 1 },
    { at: 500, requests: 1 },
    { at: 900, requests: 1 },
  ];
  const servers = [limited('s1', 1, openings)];
  const { queue, texts } = decide(
    servers,
    ['a', 'b', 'c', 'd'].map((one) => call(one)),
  );
  assert.deepEqual(texts, ['a: s1', 'c: no_capacity 900 ms', 'd: no_capacity 900 ms']);
  assert.equal(queue.queuedCount, 1, 'the second call waits for its turn');
});

// Guards against a refusal while a server that has asked for nothing is only busy for a moment.
test('calls wait while a server that has asked for nothing is busy', () => {
  const servers = [limited('s1', 0, []), { id: 's2', limit: 1 }];
  const { queue, texts } = decide(
    servers,
    ['a', 'b'].map((one) => call(one)),
  );
  assert.deepEqual(texts, ['a: s2']);
  assert.equal(queue.queuedCount, 1);
});

// Guards against one team that takes all calls of a limited server by sending more than the others.
test('the few calls of limited servers are shared by the teams, the most urgent class first', () => {
  const queue = new ServiceQueue();
  const placed: string[] = [];
  Array.from({ length: 6 }, (_, second) => second * 1_000).forEach((now) => {
    queue.reconfigure([limited('s1', 1, [{ at: now, requests: 1 }])]);
    const many = Array.from({ length: 5 }, (_, i) => call(`many-${now}-${i}`, { team: 'many' }));
    [...many, call(`few-${now}`, { team: 'few' })].forEach((one) => queue.submit(one, now));
    queue.submit(call(`late-${now}`, { team: 'few', class: 'certificate' }), now);
    queue.step(now).forEach((one) => {
      if (one.type !== 'place') return;
      placed.push(one.request.split('-')[0] ?? '');
      queue.callEnded(placed.at(-1) ?? '', one.server, false, now);
    });
  });
  assert.deepEqual(placed.filter((team) => team === 'few').length, 3);
  assert.ok(!placed.includes('late'));
});

// Guards against a retry that waits for its deadline since the only server it may still go to rests.
test('a retry is refused at once if no other server opens in time', () => {
  const servers = [limited('s1', 0, [{ at: 3_000, requests: Infinity }]), { id: 's2', limit: 2 }];
  const { texts } = decide(servers, [call('a', { avoid: ['s2'] }), call('b')]);
  assert.deepEqual([...texts].sort(), ['a: no_capacity 3000 ms', 'b: s2']);
});
