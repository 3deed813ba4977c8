import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeDigest, decodeHint, encodeDigest, isDigest } from '@camphorvane/peer/hints';
import type { HostDigest } from '@camphorvane/peer/hints';
import fc from 'fast-check';

const DIGEST: HostDigest = {
  host: 'h',
  incarnation: 'i',
  sequence: 3,
  hostCount: 40,
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

test('a digest survives encoding and decoding and is not decoded as a hint', () => {
  const bytes = encodeDigest(DIGEST);
  assert.equal(isDigest(bytes), true);
  assert.deepEqual(decodeDigest(bytes), DIGEST);
  assert.equal(decodeHint(bytes), undefined);
});

// Any bytes may arrive at an open port. Malformed datagrams must neither crash the process nor be
// decoded as a digest.
test('malformed datagrams are not decoded as a digest', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => decodeDigest(bytes) === undefined),
  );
  const valid = JSON.parse(encodeDigest(DIGEST).toString()) as unknown[];
  const malformed = valid.map((_, at) => valid.map((field, i) => (i === at ? { x: 1 } : field)));
  malformed.forEach((fields, at) =>
    assert.equal(decodeDigest(Buffer.from(JSON.stringify(fields))), undefined, `field ${at}`),
  );
});
