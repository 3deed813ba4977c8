import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeDigest, decodeHint, encodeDigest, isDigest } from '@camphorvane/peer/hints';
import type { HostDigest } from '@camphorvane/peer/hints';
import fc from 'fast-check';

const DIGEST: HostDigest = {
  host: 'h',
  incarnation: 'i',
  sequence: 3,
  heard: 40,
  engines: [{ engine: 'e', prefillTokens: 1, streams: 2, memoryTokens: 3 }],
  charged: [['t', 400]],
  demand: [
    {
      ...{ model: 'm', requests: 2, promptTokens: 6_000 },
      ...{ memoryTokens: 7_000, memorySteps: 9, onTimeWaiting: 4 },
    },
  ],
  moves: [{ engine: 'e', role: 'prefill', leftMs: 0 }],
  calls: [['orders', 4]],
  down: ['e2'],
  silent: ['a'],
  serving: ['b'],
  leaving: ['b'],
  versions: { config: 7, servers: 9 },
  drained: { version: 11, zones: ['a', 'c'] },
};

test('a digest is read as it was written, and not taken for a hint', () => {
  const bytes = encodeDigest(DIGEST);
  assert.equal(isDigest(bytes), true);
  assert.deepEqual(decodeDigest(bytes), DIGEST);
  assert.equal(decodeHint(bytes), undefined);
});

// Anything may arrive at an open port. What is no digest must neither end the process nor be taken
// for one.
test('whatever else arrives is no digest', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => decodeDigest(bytes) === undefined),
  );
  const sound = JSON.parse(encodeDigest(DIGEST).toString()) as unknown[];
  const spoilt = sound.map((_, place) => sound.map((field, i) => (i === place ? { x: 1 } : field)));
  spoilt.forEach((one, place) =>
    assert.equal(decodeDigest(Buffer.from(JSON.stringify(one))), undefined, `field ${place}`),
  );
});
