import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CrashSuspects } from '@camphorvane/decisions';

test('blocks a request that crashed two engines, on every host that gets the reports', () => {
  // Guards against a prompt that crashes each engine that runs it while its caller retries through
  // other hosts: each retry would fail one more engine with all its streams.
  const first = new CrashSuspects();
  first.recordCrash({ digest: 'bad', upstream: 'd1', ageMs: 0 }, 1_000);
  first.recordCrash({ digest: 'bad', upstream: 'd1', ageMs: 0 }, 1_500);
  assert.equal(first.getBlockedMs('bad', 2_000), undefined);
  const second = new CrashSuspects();
  second.recordCrash({ digest: 'bad', upstream: 'd2', ageMs: 0 }, 70_000);
  first.getReports(2_000).forEach((report) => second.recordCrash(report, 70_000));
  assert.equal(second.getBlockedMs('bad', 70_000), 599_500);
  assert.equal(second.getBlockedMs('bad', 70_000 + 599_500), undefined);
});

test('clears a request that was answered, and keeps a bounded number of digests', () => {
  const suspicion = new CrashSuspects({ maxDigests: 3 });
  ['d1', 'd2'].forEach((upstream) =>
    suspicion.recordCrash({ digest: 'bystander', upstream, ageMs: 0 }, 0),
  );
  suspicion.clear('bystander');
  assert.equal(suspicion.getBlockedMs('bystander', 0), undefined);
  [...Array(50).keys()].forEach((n) =>
    suspicion.recordCrash({ digest: `x${n}`, upstream: 'd1', ageMs: 0 }, 0),
  );
  assert.equal(suspicion.size, 3);
});
