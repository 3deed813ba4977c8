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
  upstreams: [{ type: 'limit', upstream: 's1', requestsPerSecond: 0.5, ageMs: 40 }],
  quotes: [],
};

/** Fields before the reports on upstreams; hosts of the version before them send and read only these. */
const FIELDS_BEFORE_REPORTS = 16;

test('a digest survives encoding and decoding and is not decoded as a hint', () => {
  const bytes = encodeDigest(DIGEST);
  assert.equal(isDigest(bytes), true);
  assert.deepEqual(decodeDigest(bytes), DIGEST);
  assert.equal(decodeHint(bytes), undefined);
});

// Guards against hosts without a relay during a rolling update, when one of them sends or expects a digest
// without reports on upstreams.
test('digests are exchanged with hosts that know no reports on upstreams', () => {
  const fields = JSON.parse(encodeDigest(DIGEST).toString()) as readonly unknown[];
  const before = fields.slice(0, FIELDS_BEFORE_REPORTS);
  assert.deepEqual(decodeDigest(Buffer.from(JSON.stringify(before))), { ...DIGEST, upstreams: [] });
  assert.equal(fields.length, FIELDS_BEFORE_REPORTS + 1, 'the reports come after all other fields');
});

// Guards against hosts without a relay during a rolling update, when only some know the quotes.
test('quoted waits survive encoding, after the fields that hosts without them read', () => {
  const quotes = [{ queue: 'rate/t', priority: 2, waitMs: 4_500, turns: 31 }];
  const fields = JSON.parse(encodeDigest({ ...DIGEST, quotes }).toString()) as readonly unknown[];
  assert.deepEqual(decodeDigest(Buffer.from(JSON.stringify(fields))), { ...DIGEST, quotes });
  assert.equal(JSON.stringify(fields.slice(0, -1)), encodeDigest(DIGEST).toString());
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
