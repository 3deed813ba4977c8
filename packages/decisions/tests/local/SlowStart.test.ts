import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis, SlowStartBounds } from '@camphorvane/core';
import { SlowStart, slowStartQuota, SlowStartQuotas } from '@camphorvane/decisions';
import fc from 'fast-check';

const BOUNDS: SlowStartBounds = { forMs: 3_000, requestsPerSecond: 31 };

const bounded = (quota: number): SlowStart => {
  const slowStart = new SlowStart(() => quota);
  slowStart.setBounds(new Map([['e1', BOUNDS]]));
  return slowStart;
};

const numberedNames = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, i) => `h${i}`);

test('an upstream that is not starting, or has no bounds, is not limited', () => {
  const slowStart = bounded(1);
  slowStart.recordRequest('e1', 0);
  assert.equal(slowStart.allowance('e1', 1), Infinity);
  slowStart.recordStart('e2', undefined, 0);
  assert.equal(slowStart.allowance('e2', 1), Infinity);
});

test('a starting upstream gets the quota of this host, and is not limited afterwards', () => {
  const slowStart = bounded(2);
  slowStart.recordStart('e1', 2_000, 0);
  slowStart.recordRequest('e1', 10);
  assert.equal(slowStart.allowance('e1', 20), 1);
  slowStart.recordRequest('e1', 20);
  assert.equal(slowStart.allowance('e1', 30), 0);
  assert.equal(slowStart.allowance('e1', 1_600), 2);
  assert.equal(slowStart.allowance('e1', 2_000), Infinity);
});

// Guards against full load on an upstream whose entry in the store lags behind its start.
test('an upstream that does not report how long it is starting is limited for the full time', () => {
  const slowStart = bounded(1);
  slowStart.recordStart('e1', undefined, 100);
  slowStart.recordRequest('e1', 2_000);
  assert.equal(slowStart.allowance('e1', 3_099), 0);
  assert.equal(slowStart.allowance('e1', 3_100), Infinity);
});

// Guards against full load on an upstream that has crashed and is back under its old name.
test('an upstream whose connection failed is limited until some time after its next answer', () => {
  const slowStart = bounded(1);
  slowStart.recordUnreachable('e1');
  slowStart.recordRequest('e1', 9_000);
  assert.equal(slowStart.allowance('e1', 9_001), 0);
  slowStart.recordAnswer('e1', 9_010);
  slowStart.recordRequest('e1', 11_500);
  assert.equal(slowStart.allowance('e1', 12_000), 0);
  assert.equal(slowStart.allowance('e1', 12_010), Infinity);
  slowStart.recordAnswer('e1', 12_020);
  assert.equal(slowStart.allowance('e1', 12_030), Infinity);
});

// Guards against hosts that hold back requests for seconds after their own links were lost.
test('an upstream that this host alone did not reach is not limited afterwards', () => {
  const slowStart = bounded(1);
  slowStart.recordUnreachable('e1');
  slowStart.recordLinksBack(['e1', 'unknown'], 100);
  slowStart.recordAnswer('e1', 200);
  assert.equal(slowStart.allowance('e1', 200), Infinity);
  slowStart.recordUnreachable('e1');
  slowStart.recordAnswer('e1', 300);
  slowStart.recordLinksBack(['e1'], 250);
  assert.equal(slowStart.allowance('e1', 400), Infinity);
});

// Guards against full load on an upstream that has restarted while this host had lost its links.
test('an upstream that reports a start is limited, also after links were lost', () => {
  const slowStart = bounded(1);
  slowStart.recordUnreachable('e1');
  slowStart.recordStart('e1', 2_000, 150);
  slowStart.recordLinksBack(['e1'], 100);
  assert.equal(slowStart.allowance('e1', 200), 1);
  slowStart.recordUnreachable('e1');
  slowStart.recordAnswer('e1', 5_000);
  slowStart.recordLinksBack(['e1'], 6_000);
  assert.equal(slowStart.allowance('e1', 6_000), 1);
});

test('the quotas of all hosts add up to the bound', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 400 }), fc.integer({ min: 1, max: 200 }), (n, bound) => {
      const hosts = numberedNames(n);
      const sum = hosts
        .map((host) => slowStartQuota('e1', host, hosts, bound))
        .reduce((a, b) => a + b, 0);
      assert.equal(sum, bound);
    }),
    { numRuns: 60 },
  );
  assert.equal(slowStartQuota('e1', 'stranger', numberedNames(3), 31), 0);
});

// Guards against hosts that spend their processor time on quotas while a large zone comes back.
test('quotas are cached for each upstream until the hosts change', () => {
  const quotas = new SlowStartQuotas('h1');
  const three = numberedNames(3);
  const two = numberedNames(2);
  assert.equal(quotas.get('e1', three, 30), 10);
  assert.equal(quotas.get('e1', three, 30), 10);
  assert.equal(quotas.get('e1', two, 30), 15);
  const startedAt = performance.now();
  const hosts = numberedNames(300);
  Array.from({ length: 200 }).forEach(() =>
    numberedNames(1_000).forEach((upstream) => quotas.get(upstream, hosts, 31)),
  );
  assert.ok(performance.now() - startedAt < 2_000);
});

// Guards against hosts that get no gossip of each other and together crash a zone that comes back.
test('hosts that use their whole quotas keep the bound per second without gossip', () => {
  const hosts = fc.integer({ min: 1, max: 90 });
  const delaysMs = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 90, maxLength: 90 });
  const starts = fc.array(fc.integer({ min: 0, max: 5_000 }), { maxLength: 4 });
  fc.assert(
    fc.property(hosts, delaysMs, starts, (count, delays, startsAt) => {
      const arrivals = numberedNames(count).flatMap((host, i) => {
        const slowStart = new SlowStart((upstream, bound) =>
          slowStartQuota(upstream, host, numberedNames(count), bound),
        );
        slowStart.setBounds(new Map([['e1', BOUNDS]]));
        slowStart.recordStart('e1', 10_000, 0);
        return arrivalsOf(slowStart, startsAt, delays[i] ?? 0);
      });
      const most = Math.max(
        0,
        ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + 1_000).length),
      );
      assert.ok(most <= BOUNDS.requestsPerSecond, `${most} in a second`);
    }),
    { numRuns: 30 },
  );
});

/** Sends requests whenever that is allowed, and gets their times of arrival after a fixed delay. */
function arrivalsOf(
  slowStart: SlowStart,
  startsAt: readonly Millis[],
  delayMs: Millis,
): readonly Millis[] {
  return Array.from({ length: 60 }, (_, i) => i * 100).flatMap((now) => {
    if (startsAt.some((at) => at >= now && at < now + 100)) {
      slowStart.recordStart('e1', undefined, now);
    }
    const allowed = slowStart.allowance('e1', now);
    return Array.from({ length: allowed }, () => {
      slowStart.recordRequest('e1', now);
      return now + delayMs;
    });
  });
}
