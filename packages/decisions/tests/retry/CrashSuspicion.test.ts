import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CrashSuspicion } from '@camphorvane/decisions';

test('holds back a request that crashed two engines, on every host that hears of it', () => {
  // A caller's prompt crashes the engine that runs it, and the caller sends it again through another
  // host. Without the digest each try takes down one more engine with everybody's streams.
  const first = new CrashSuspicion();
  first.observe({ digest: 'bad', upstream: 'd1', ageMs: 0 }, 1_000);
  first.observe({ digest: 'bad', upstream: 'd1', ageMs: 0 }, 1_500);
  assert.equal(first.getHeldBackMs('bad', 2_000), undefined);
  const second = new CrashSuspicion();
  second.observe({ digest: 'bad', upstream: 'd2', ageMs: 0 }, 70_000);
  first.getReports(2_000).forEach((report) => second.observe(report, 70_000));
  assert.equal(second.getHeldBackMs('bad', 70_000), 599_500);
  assert.equal(second.getHeldBackMs('bad', 70_000 + 599_500), undefined);
});

test('lets bystanders run: an answer clears them, and memory is bounded', () => {
  const suspicion = new CrashSuspicion({ most: 3 });
  ['d1', 'd2'].forEach((upstream) =>
    suspicion.observe({ digest: 'bystander', upstream, ageMs: 0 }, 0),
  );
  suspicion.clear('bystander');
  assert.equal(suspicion.getHeldBackMs('bystander', 0), undefined);
  [...Array(50).keys()].forEach((n) =>
    suspicion.observe({ digest: `x${n}`, upstream: 'd1', ageMs: 0 }, 0),
  );
  assert.equal(suspicion.size, 3);
});
