import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis, UpstreamSignals } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { UpstreamConstraints } from '@camphorvane/decisions';

const WINDOW_MS: Millis = 4_000;
const EPOCH_MS: Millis = 1_780_000_000_000;

/** Most requests that the users accept in any window. */
const maxRequests = (limit: number): number => 1.5 * limit * (WINDOW_MS / 1_000) + 5;

const named = (requestsPerSecond: number): UpstreamSignals => ({
  requestsPerSecond,
  endsLimit: false,
  leaving: false,
  restMs: undefined,
});

const NOT_NAMED: UpstreamSignals = {
  requestsPerSecond: undefined,
  endsLimit: true,
  leaving: false,
  restMs: undefined,
};

function createHosts(count: number, clockErrorMs = 0): readonly UpstreamConstraints[] {
  const random = new RandomSource(3);
  const names = Array.from({ length: count }, (_, i) => `h${i}`);
  return names.map((self) => {
    const errorMs = (random.next() - 0.5) * 2 * clockErrorMs;
    const toTimeOfDay = (now: Millis): Millis => EPOCH_MS + now + errorMs;
    return new UpstreamConstraints({ self, getSharers: () => names, toTimeOfDay });
  });
}

/** Has each host send whenever it may for 40 s, and gets the times; hosts in `restarts` forget their state. */
function sendAll(
  hosts: readonly UpstreamConstraints[],
  limit: number,
  restartsAt: ReadonlyMap<number, Millis> = new Map(),
): readonly Millis[] {
  const current = [...hosts];
  current.forEach((host) => host.record('s', named(limit), 0));
  const fresh = createHosts(hosts.length);
  const sentAt: Millis[] = [];
  Array.from({ length: 800 }, (_, step) => step * 50).forEach((now) =>
    current.forEach((_, i) => {
      const restarted = fresh[i];
      if (restartsAt.get(i) === now && restarted !== undefined) {
        current[i] = restarted;
        restarted.record('s', named(limit), now);
      }
      const host = current[i];
      if (host === undefined || host.allowance('s', now) < 1) return;
      host.recordRequest('s', now);
      sentAt.push(now);
    }),
  );
  return sentAt;
}

function mostInWindow(times: readonly Millis[]): number {
  return Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
}

// Guards against a limit that is multiplied by the number of hosts, or that rounds parts of less than one
// request up. The hosts hear nothing of each other.
[9, 117, 350].forEach((count) =>
  test(`${count} hosts that don't hear each other hold a limit together`, () => {
    [0, 0.5, 3.1, 46].forEach((limit) => {
      const times = sendAll(createHosts(count, 100), limit);
      const most = mostInWindow(times);
      assert.ok(most <= maxRequests(limit), `${most} requests at a limit of ${limit}`);
      assert.ok(times.length >= limit * 39, `${times.length} of ${limit * 40} are used`);
    });
  }),
);

// Guards against a restarted host that takes its part a second time.
test('the limit holds while hosts restart', () => {
  [0.5, 3.1, 46].forEach((limit) => {
    const restarts = new Map([0, 1, 2, 3].map((i) => [i, 5_000 + i * 1_550]));
    const most = mostInWindow(sendAll(createHosts(9), limit, restarts));
    assert.ok(most <= maxRequests(limit), `${most} requests at a limit of ${limit}`);
  });
});

// Guards against hosts that use permits twice when the time of day jumps, or more than one host uses one.
[9, 117].forEach((count) =>
  test(`the limit holds while the clocks of a third of ${count} hosts step by 2 s and back`, () => {
    const names = Array.from({ length: count }, (_, i) => `h${i}`);
    const isOff = (i: number, now: Millis): boolean => i % 3 === 0 && now >= 10_300 && now < 16_300;
    [2_000, -2_000].forEach((stepMs) =>
      [0.5, 3.1, 46].forEach((limit) => {
        const hosts = names.map((self, i) => {
          const toTimeOfDay = (now: Millis): Millis =>
            EPOCH_MS + now + (isOff(i, now) ? stepMs : 0);
          return new UpstreamConstraints({ self, getSharers: () => names, toTimeOfDay });
        });
        const most = mostInWindow(sendAll(hosts, limit));
        assert.ok(most <= maxRequests(limit), `${most} requests at a limit of ${limit}`);
      }),
    );
  }),
);

// Guards against a limit that outlives its cause.
test('a limit ends with the first answer that no longer names it', () => {
  const [host] = createHosts(1);
  assert.ok(host !== undefined);
  assert.deepEqual(
    host.record('s', named(2), 0).map(({ type }) => type),
    ['limit_named'],
  );
  assert.deepEqual(host.record('s', named(2), 10), [], 'nothing has changed');
  assert.deepEqual(host.record('s', { ...NOT_NAMED, endsLimit: false }, 20), []);
  assert.ok(host.allowance('s', 30) <= 2);
  assert.deepEqual(
    host.record('s', NOT_NAMED, 40).map(({ type }) => type),
    ['limit_ended'],
  );
  assert.equal(host.allowance('s', 50), Infinity);
  assert.equal(host.openings('s', 50), undefined);
});

// Guards against a limit that nobody notices to have ended, since all requests go to other upstreams.
test('a limit is to be confirmed once no answer has named it for a while', () => {
  const [host] = createHosts(1);
  host?.record('s', named(2), 0);
  assert.equal(host?.needsConfirmation('s', 900), false);
  assert.equal(host?.needsConfirmation('s', 1_100), true);
  assert.equal(host?.needsConfirmation('other', 1_100), false);
});

// Guards against hosts that go on with a limit, or without one, by an old report.
test('the newest of answers and reports counts', () => {
  const [a, b] = createHosts(2);
  assert.ok(a !== undefined && b !== undefined);
  a.record('s', named(2), 100);
  b.receive(a.getReports(150), 151);
  assert.ok(b.allowance('s', 151) <= 2);
  assert.deepEqual(b.getReports(152), [], 'what a peer reported is not reported again');
  a.record('s', NOT_NAMED, 200);
  const old = b.record('s', named(2), 190);
  assert.deepEqual(old, []);
  b.receive(a.getReports(210), 211);
  assert.equal(b.allowance('s', 212), Infinity);
  b.receive([{ type: 'limit', upstream: 's', requestsPerSecond: 2, ageMs: 120 }], 220);
  assert.equal(b.allowance('s', 221), Infinity);
  assert.deepEqual(a.getReports(10_000).length, 1);
  assert.deepEqual(a.getReports(11_000).length, 0);
});

// Guards against a rest that ends with a shorter one, or that keeps other hosts away.
test('an upstream gets no request of this host until its rest has ended', () => {
  const [a, b] = createHosts(2);
  assert.ok(a !== undefined && b !== undefined);
  const rest = (restMs: number) => ({ ...named(0), requestsPerSecond: undefined, restMs });
  assert.deepEqual(
    a.record('s', rest(3_000), 0).map(({ type }) => type),
    ['rest'],
  );
  a.record('s', rest(500), 100);
  assert.equal(a.allowance('s', 2_999), 0);
  assert.deepEqual(a.openings('s', 2_000), [{ at: 3_000, requests: Infinity }]);
  assert.equal(a.allowance('s', 3_000), Infinity);
  assert.equal(a.openings('s', 3_000), undefined);
  b.receive(a.getReports(200), 201);
  assert.equal(b.allowance('s', 202), Infinity);
});

// Guards against requests to a server with a limit during its rest.
test('a server with a limit that rests opens with the first permit after its rest', () => {
  const [host] = createHosts(1);
  host?.record('s', { ...named(2), restMs: 3_500 }, 0);
  assert.equal(host?.allowance('s', 3_400), 0);
  assert.equal(host?.openings('s', 100)?.[0]?.at, 3_500);
  assert.ok((host?.allowance('s', 3_500) ?? 0) > 0);
});

test('openings tell when this host may send', () => {
  const hosts = createHosts(9);
  hosts.forEach((host) => {
    host.record('s', named(1), 0);
    const [opening] = host.openings('s', 100) ?? [];
    assert.ok(opening !== undefined && opening.at < 100 + 10_000);
    assert.ok(host.allowance('s', opening.at) > 0);
    host.recordRequest('s', opening.at);
    assert.ok((host.openings('s', opening.at)?.[0]?.at ?? 0) > opening.at);
  });
});

test('a server that is no longer listed is forgotten a minute after its last answer', () => {
  const [host] = createHosts(1);
  host?.record('s', named(1), 0);
  host?.retain(new Set(), 59_000);
  assert.notEqual(host?.openings('s', 59_000), undefined);
  host?.retain(new Set(['s']), 61_000);
  assert.notEqual(host?.openings('s', 61_000), undefined);
  host?.retain(new Set(), 61_000);
  assert.equal(host?.openings('s', 61_000), undefined);
});

// Guards against requests to a server that has said that it is leaving, also by hosts that it has not told.
test('a server that is leaving gets no more requests, from hosts that heard so and from their peers', () => {
  const [a, b] = createHosts(2);
  assert.ok(a !== undefined && b !== undefined);
  const leaving = { ...NOT_NAMED, leaving: true };
  assert.deepEqual(
    a.record('s', leaving, 0).map(({ type }) => type),
    ['leaving'],
  );
  a.record('s', NOT_NAMED, 10);
  assert.equal(a.allowance('s', 20), 0, 'an answer that was on its way before ends nothing');
  assert.deepEqual(a.openings('s', 20), []);
  b.receive(a.getReports(100), 101);
  assert.equal(b.allowance('s', 102), 0);
  assert.deepEqual(b.getReports(103), []);
  a.forget('s');
  assert.equal(a.allowance('s', 200), Infinity, 'another process has started under the name');
});

// Guards against a host that hangs, or a server that is out of use for good, because of one absurd header.
test('absurd limits and rests are bounded', () => {
  const [host] = createHosts(9);
  assert.ok(host !== undefined);
  [1e6, 1e9, 1e15, 1e300].forEach((limit) => {
    host.record('s', named(limit), 0);
    assert.ok(host.allowance('s', 10) > 1_000, `${limit}`);
    assert.ok((host.openings('s', 10) ?? []).length > 0, `${limit}`);
  });
  host.record('t', { ...NOT_NAMED, restMs: 1e300 }, 0);
  assert.equal(host.isResting('t', 3_600_000), false);
});
