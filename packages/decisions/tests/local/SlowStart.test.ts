import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis, SlowStartBounds } from '@camphorvane/core';
import { SlowStart, slowStartQuota, SlowStartQuotas } from '@camphorvane/decisions';
import fc from 'fast-check';

const BOUNDS: SlowStartBounds = { forMs: 3_000, requestsPerSecond: 31 };

const bounded = (quota: number): SlowStart => {
  const slowStart = new SlowStart(() => quota);
  slowStart.reshape(new Map([['e1', BOUNDS]]));
  return slowStart;
};

const names = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, i) => `h${i}`);

test('an upstream that runs, or has no bounds, gets any number of requests', () => {
  const slowStart = bounded(1);
  slowStart.used('e1', 0);
  assert.equal(slowStart.allowance('e1', 1), Infinity);
  slowStart.started('e2', undefined, 0);
  assert.equal(slowStart.allowance('e2', 1), Infinity);
});

test('an upstream that starts gets the quota of this host, and all once it has started', () => {
  const slowStart = bounded(2);
  slowStart.started('e1', 2_000, 0);
  slowStart.used('e1', 10);
  assert.equal(slowStart.allowance('e1', 20), 1);
  slowStart.used('e1', 20);
  assert.equal(slowStart.allowance('e1', 30), 0);
  assert.equal(slowStart.allowance('e1', 1_600), 2);
  assert.equal(slowStart.allowance('e1', 2_000), Infinity);
});

// Guards against full load on an upstream whose entry in the store lags behind its start.
test('an upstream that does not say how long it starts is bounded for the whole time', () => {
  const slowStart = bounded(1);
  slowStart.started('e1', undefined, 100);
  slowStart.used('e1', 2_000);
  assert.equal(slowStart.allowance('e1', 3_099), 0);
  assert.equal(slowStart.allowance('e1', 3_100), Infinity);
});

// Guards against full load on an upstream that has crashed and is back under its old name.
test('an upstream that gave no connection is bounded until it has run for a while', () => {
  const slowStart = bounded(1);
  slowStart.unreachable('e1');
  slowStart.used('e1', 9_000);
  assert.equal(slowStart.allowance('e1', 9_001), 0);
  slowStart.answered('e1', 9_010);
  slowStart.used('e1', 11_500);
  assert.equal(slowStart.allowance('e1', 12_000), 0);
  assert.equal(slowStart.allowance('e1', 12_010), Infinity);
  slowStart.answered('e1', 12_020);
  assert.equal(slowStart.allowance('e1', 12_030), Infinity);
});

test('what hosts may send adds up to the bound, and all of it is dealt out', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 400 }), fc.integer({ min: 1, max: 200 }), (n, bound) => {
      const hosts = names(n);
      const sum = hosts
        .map((host) => slowStartQuota('e1', host, hosts, bound))
        .reduce((a, b) => a + b, 0);
      assert.equal(sum, bound);
    }),
    { numRuns: 60 },
  );
  assert.equal(slowStartQuota('e1', 'stranger', names(3), 31), 0);
});

// Guards against a fleet that spends its processor time on quotas while a large zone comes back.
test('quotas are found once for each upstream, and anew when the hosts change', () => {
  const quotas = new SlowStartQuotas('h1');
  const three = names(3);
  const two = names(2);
  assert.equal(quotas.get('e1', three, 30), 10);
  assert.equal(quotas.get('e1', three, 30), 10);
  assert.equal(quotas.get('e1', two, 30), 15);
  const startedAt = performance.now();
  const hosts = names(300);
  Array.from({ length: 200 }).forEach(() =>
    names(1_000).forEach((upstream) => quotas.get(upstream, hosts, 31)),
  );
  assert.ok(performance.now() - startedAt < 2_000);
});

// Guards against hosts that get no hints of each other and together crash a zone that comes back.
test('hosts that send whenever they may keep the bound of a second without any hints', () => {
  const hosts = fc.integer({ min: 1, max: 90 });
  const laterMs = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 90, maxLength: 90 });
  const news = fc.array(fc.integer({ min: 0, max: 5_000 }), { maxLength: 4 });
  fc.assert(
    fc.property(hosts, laterMs, news, (count, delays, startsAt) => {
      const sent = names(count).flatMap((host, i) => {
        const slowStart = new SlowStart((upstream, bound) =>
          slowStartQuota(upstream, host, names(count), bound),
        );
        slowStart.reshape(new Map([['e1', BOUNDS]]));
        slowStart.started('e1', 10_000, 0);
        return sendsOf(slowStart, startsAt, delays[i] ?? 0);
      });
      const most = Math.max(
        0,
        ...sent.map((from) => sent.filter((at) => at >= from && at < from + 1_000).length),
      );
      assert.ok(most <= BOUNDS.requestsPerSecond, `${most} in a second`);
    }),
    { numRuns: 30 },
  );
});

/** Sends whenever that is allowed; each request arrives a host's own delay later. */
function sendsOf(
  slowStart: SlowStart,
  startsAt: readonly Millis[],
  delayMs: Millis,
): readonly Millis[] {
  return Array.from({ length: 60 }, (_, i) => i * 100).flatMap((now) => {
    if (startsAt.some((at) => at >= now && at < now + 100)) {
      slowStart.started('e1', undefined, now);
    }
    const allowed = slowStart.allowance('e1', now);
    return Array.from({ length: allowed }, () => {
      slowStart.used('e1', now);
      return now + delayMs;
    });
  });
}
