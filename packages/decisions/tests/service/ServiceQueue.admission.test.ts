import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import type { Millis } from '@camphorvane/core';
import { RandomSource, REFUSAL_CODES } from '@camphorvane/core';
import type {
  AdmissionEvent,
  QueueControls,
  ServiceQueueCall,
  TurnRequest,
} from '@camphorvane/decisions';
import { ServiceQueue } from '@camphorvane/decisions';

const CALL_MS: Millis = 40;
const ON: QueueControls = { isAdmissionOn: () => true };

/** Makes a queue for one server with two slots, whose calls take 40 ms. */
function makeQueue(controls: QueueControls): ServiceQueue {
  const queue = new ServiceQueue(new RandomSource(1), controls);
  queue.reconfigure([{ id: 's', limit: 2 }], 2, 2);
  queue.callEnded('t', 's', false, 0, CALL_MS);
  return queue;
}

const makeCall = (request: string, change: Partial<ServiceQueueCall> = {}): ServiceQueueCall => ({
  ...{ request, team: 't', class: 'lookup', maxWaitMs: 600, lateAt: 200, avoid: [] },
  ...change,
});

/** Submits calls at one moment, and gets the indexes of those that are refused. */
function submitMany(queue: ServiceQueue, count: number, lateAt: Millis, now: Millis): number[] {
  return Array.from({ length: count }, (_, i) => i).filter((i) => {
    const refusal = queue.submit(makeCall(`r${now}.${i}`, { lateAt, team: `t${now}.${i}` }), now);
    queue.step(now);
    return refusal !== undefined;
  });
}

test('calls that fit into the time left are queued, and the others are refused at once', () => {
  const refused = submitMany(makeQueue(ON), 40, 200, 0);
  // Two start at once; in 250 ms, a quarter more than is left, 12 others are expected to start.
  assert.deepEqual(refused, [...Array(40).keys()].slice(14));
});

test('a call without a target is refused when it can not start before its time-out', () => {
  const queue = makeQueue(ON);
  const refused = Array.from({ length: 30 }, (_, i) => i).filter((i) => {
    const call = makeCall(`r${i}`, { lateAt: undefined, team: `t${i}`, maxWaitMs: 100 });
    const refusal = queue.submit(call, 0);
    queue.step(0);
    return refusal !== undefined;
  });
  // Two start at once; 6 others are expected to start in 125 ms, a quarter more than the time-out.
  assert.equal(refused[0], 2 + 6);
});

// Guards against a Retry-After that says 500 ms whatever the backlog is.
test('a refusal tells when the backlog will have drained', () => {
  const queue = makeQueue(ON);
  submitMany(queue, 14, 200, 0);
  const refusal = queue.submit(makeCall('last'), 0);
  assert.equal(refusal?.execution, 'not_run');
  assert.equal(refusal.retryAfterMs, (12 + 1) * (CALL_MS / 2));
});

// Guards against calls that wait for a lost server until their time-out; the last in order are refused first.
test('queued calls are refused when capacity is lost, the last ones in queue order', () => {
  const queue = makeQueue(ON);
  submitMany(queue, 14, 200, 0);
  queue.reconfigure([{ id: 's', limit: 1 }], 1, 1);
  const refused = queue.step(60).filter(({ type }) => type === 'refuse');
  assert.deepEqual(
    refused.map(({ request }) => request),
    ['r0.13', 'r0.12', 'r0.11', 'r0.10', 'r0.9', 'r0.8', 'r0.7', 'r0.6', 'r0.5'],
  );
  assert.equal(queue.queuedCount, 3);
});

// Guards against late calls that are held although every slot goes to calls that can be on time.
test('a late call is refused under sustained overload, and queued when capacity is left', () => {
  const overloaded = makeQueue(ON);
  Array.from({ length: 100 }, (_, i) => i * 10).forEach((now) => {
    submitMany(overloaded, 2, now + 200, now);
  });
  assert.ok(overloaded.submit(makeCall('late', { lateAt: 0 }), 1_000) !== undefined);
  const quiet = makeQueue(ON);
  submitMany(quiet, 2, 200, 0);
  assert.equal(quiet.submit(makeCall('late', { lateAt: 0 }), 1_000), undefined);
});

test('a refusal is counted as wrong when a server is free before the expected wait has passed', () => {
  const events: AdmissionEvent[] = [];
  const queue = makeQueue({ ...ON, report: (event) => events.push(event) });
  submitMany(queue, 16, 200, 0);
  // All calls end at once, which is much sooner than expected.
  Array.from({ length: 7 }, (_, i) => 10 + i).forEach((now) => {
    ['a', 'b'].forEach((team) => queue.callEnded(team, 's', false, now));
    queue.step(now);
  });
  queue.callEnded('a', 's', false, 20);
  queue.step(20);
  const wrong = events.filter(({ type }) => type === 'refused_while_idle');
  assert.deepEqual(wrong, [{ type: 'refused_while_idle', count: 2 }]);
});

test('the switch is read at each decision', () => {
  let isOn = false;
  const queue = makeQueue({ isAdmissionOn: () => isOn });
  assert.deepEqual(submitMany(queue, 20, 200, 0), []);
  isOn = true;
  assert.ok(queue.submit(makeCall('one more'), 1) !== undefined);
  isOn = false;
  assert.equal(queue.submit(makeCall('another'), 2), undefined);
});

test('refused callers get their turns, and a caller in its turn goes first', () => {
  const granted: TurnRequest[] = [];
  const turns: ReturnType<NonNullable<QueueControls['turns']>> = {
    grant: (req) => {
      granted.push(req);
      return { type: 'turn', retryAfterMs: 77 };
    },
    statusOf: (ageMs) => (ageMs > 0 ? 'in_turn' : 'new'),
  };
  const queue = makeQueue({ ...ON, turns: () => turns });
  submitMany(queue, 14, 200, 0);
  const callerTimes = { ageMs: 0, deadlineAt: 900, targetMs: 300 };
  assert.equal(queue.submit(makeCall('new', { callerTimes, priority: 3 }), 0)?.retryAfterMs, 77);
  assert.deepEqual(granted, [{ team: 't', priority: 3, units: 1, leftMs: 900, targetMs: 300 }]);
  const returned = makeCall('returned', { callerTimes: { ...callerTimes, ageMs: 100 } });
  assert.equal(queue.submit(returned, 0), undefined);
  queue.callEnded('t', 's', false, 1);
  assert.deepEqual(
    queue.step(1).map(({ request }) => request),
    ['returned'],
  );
});

test('the order that is switched on decides', () => {
  const order = {
    compare: (a: { team: string }, b: { team: string }) => (a.team < b.team ? 1 : -1),
  };
  const queue = makeQueue({ ...ON, order: () => order });
  submitMany(queue, 2, 200, 0);
  ['a', 'c', 'b'].forEach((team) => queue.submit(makeCall(team, { team }), 0));
  queue.callEnded('t', 's', false, 1);
  assert.deepEqual(
    queue.step(1).map(({ request }) => request),
    ['c'],
  );
});

// Guards against calls that are lost or decided twice, and against more calls in flight than allowed.
test('every call is placed, refused or still queued, exactly once', () => {
  const action = fc.record({
    afterMs: fc.nat(30),
    calls: fc.nat(6),
    ends: fc.nat(3),
    leftMs: fc.integer({ min: -100, max: 400 }),
    limit: fc.nat(3),
  });
  fc.assert(
    fc.property(fc.array(action, { maxLength: 40 }), (actions) => {
      const queue = makeQueue(ON);
      const decided: string[] = [];
      let [now, sent, inFlight] = [0, 0, 0];
      actions.forEach(({ afterMs, calls, ends, leftMs, limit }) => {
        now += afterMs;
        const ended = Math.min(ends, inFlight);
        Array.from({ length: ended }).forEach(() => queue.callEnded('t', 's', false, now, 30));
        inFlight -= ended;
        queue.reconfigure([{ id: 's', limit }], limit, limit);
        Array.from({ length: calls }).forEach(() => {
          const call = makeCall(`r${sent}`, { lateAt: now + leftMs, team: `t${sent % 5}` });
          const refusal = queue.submit(call, now);
          if (refusal !== undefined) {
            assert.ok(REFUSAL_CODES.includes(refusal.code) && refusal.execution === 'not_run');
            decided.push(call.request);
          }
          sent += 1;
        });
        const decisions = queue.step(now);
        const placed = decisions.filter(({ type }) => type === 'place').length;
        assert.ok(placed === 0 || inFlight + placed <= limit);
        inFlight += placed;
        decided.push(...decisions.map(({ request }) => request));
      });
      assert.equal(new Set(decided).size, decided.length);
      assert.equal(decided.length + queue.queuedCount, sent);
    }),
  );
});
