import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  LIMIT_FRAME_MS,
  limitSharer,
  MIN_REQUESTS_PER_SECOND,
  nextPermits,
  permitsInFrame,
} from '@camphorvane/decisions';
import fc from 'fast-check';

const FRAMES_PER_SECOND = 1_000 / LIMIT_FRAME_MS;

const hostNames = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, i) => `h${i}`);

const limits = fc.double({ min: 0, max: 500, noNaN: true });
const frames = fc.integer({ min: 1_700_000_000, max: 2_000_000_000 });

// Guards against a sum over the hosts that exceeds the limit because each rounds its part up.
test('the permits of all hosts add up to the limit, in whole requests', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 350 }), limits, frames, (count, limit, frame) => {
      const hosts = hostNames(count);
      const sharers = hosts.map((host) => limitSharer('s', host, hosts));
      const permits = sharers.map((sharer) => permitsInFrame(sharer, limit, frame));
      const sum = permits.reduce((a, b) => a + b, 0);
      const perFrame = Math.max(limit, MIN_REQUESTS_PER_SECOND) / FRAMES_PER_SECOND;
      assert.ok(permits.every((one) => Number.isInteger(one) && one >= 0));
      assert.ok(sum >= Math.floor(perFrame) && sum <= Math.ceil(perFrame), `${sum}`);
    }),
  );
});

// Guards against hosts that never get a turn where there are more hosts than requests.
test('every host gets its turn, in frames that are known in advance', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 350 }), limits, frames, (count, limit, frame) => {
      const hosts = hostNames(count);
      const sharer = limitSharer('s', `h${count - 1}`, hosts);
      const next = nextPermits(sharer, limit, frame, 3);
      assert.equal(next.length, 3);
      const perFrame = Math.max(limit, MIN_REQUESTS_PER_SECOND) / FRAMES_PER_SECOND;
      const turnFrames = Math.ceil(count / perFrame) + 1;
      assert.ok((next[0]?.frame ?? Infinity) <= frame + turnFrames);
      next.forEach((one) =>
        assert.equal(one.permits, permitsInFrame(sharer, limit, one.frame), `${one.frame}`),
      );
      const before = Array.from({ length: 50 }, (_, i) => frame + i).filter(
        (one) => one < (next[0]?.frame ?? 0),
      );
      before.forEach((one) => assert.equal(permitsInFrame(sharer, limit, one), 0));
    }),
  );
});

test('a host that is not among the sharers gets no permits', () => {
  const sharer = limitSharer('s', 'x', hostNames(3));
  assert.equal(permitsInFrame(sharer, 100, 1_700_000_000), 0);
  assert.deepEqual(nextPermits(sharer, 100, 1_700_000_000, 2), []);
});
