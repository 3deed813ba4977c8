import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeHint, encodeHint } from '@camphorvane/peer/hints';
import type { HostHint } from '@camphorvane/peer/hints';
import fc from 'fast-check';

const HINT: HostHint = {
  host: 'h',
  incarnation: 'i',
  sequence: 3,
  leaving: true,
  serving: true,
  nextMs: 300,
  digests: 'often',
  engines: [{ engine: 'e', prefillTokens: 1, streams: 2, memoryTokens: 3 }],
  charged: [['t', 400]],
  demand: [
    {
      ...{ model: 'm', requests: 2, promptTokens: 6_000 },
      ...{ memoryTokens: 7_000, memorySteps: 9, onTimeWaiting: 4 },
    },
  ],
  moves: [{ engine: 'e', role: 'decode', leftMs: 6_000 }],
  calls: [['orders', 3]],
  down: ['e2'],
  versions: { config: 7, servers: 9 },
  drained: { version: 11, zones: ['a', 'c'] },
  upstreams: [
    { type: 'limit', upstream: 's1', requestsPerSecond: 3.1, ageMs: 40 },
    { type: 'no_limit', upstream: 's2', ageMs: 0 },
    { type: 'leaving', upstream: 's3', ageMs: 900 },
  ],
  quotes: [],
};

/** Fields before the reports on upstreams; hosts of the version before them send and read only these. */
const FIELDS_BEFORE_REPORTS = 13;

test('a hint survives encoding and decoding', () => {
  assert.deepEqual(decodeHint(encodeHint(HINT)), HINT);
});

// Guards against hosts that don't hear each other during a rolling update, when one of them sends or
// expects a hint without reports on upstreams.
test('hints are exchanged with hosts that know no reports on upstreams', () => {
  const fields = JSON.parse(encodeHint(HINT).toString()) as readonly unknown[];
  const before = fields.slice(0, FIELDS_BEFORE_REPORTS);
  assert.deepEqual(decodeHint(Buffer.from(JSON.stringify(before))), { ...HINT, upstreams: [] });
  assert.equal(fields.length, FIELDS_BEFORE_REPORTS + 1, 'the reports come after all other fields');
});

// Guards against hosts that don't hear each other during a rolling update, when only some know the quotes.
test('quoted waits survive encoding, after the fields that hosts without them read', () => {
  const quotes = [{ queue: 'service/orders', priority: -1, waitMs: 450, turns: 2.5 }];
  const fields = JSON.parse(encodeHint({ ...HINT, quotes }).toString()) as readonly unknown[];
  assert.deepEqual(decodeHint(Buffer.from(JSON.stringify(fields))), { ...HINT, quotes });
  assert.equal(JSON.stringify(fields.slice(0, -1)), encodeHint(HINT).toString());
  const malformed = [...fields.slice(0, -1), [['service/orders', 1, -4, 1]]];
  assert.equal(decodeHint(Buffer.from(JSON.stringify(malformed))), undefined);
});

// Any bytes may arrive at an open port. Malformed datagrams must neither crash the process nor be
// decoded as a hint.
test('malformed datagrams are not decoded as a hint', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => decodeHint(bytes) === undefined),
  );
  fc.assert(
    fc.property(fc.json(), (text) => {
      const hint = decodeHint(Buffer.from(text));
      return hint === undefined || typeof hint.host === 'string';
    }),
  );
  const malformed = [
    ['h', 'i', 3, [1, 0], [['e', -1, 0, 0]], [], [1, 1], [], [], [], [], 300],
    ['h', 'i', 3, [1, 0], [], [['t', 'x']], [1, 1], [], [], [], [], 300],
    ['h', 'i', 'x', [1, 0], [], [], [1, 1], [], [], [], [], 300],
    ['h', 'i', 3, [1, 0], [], [], ['x', 1], [], [], [], [], 300],
    ['h', 'i', 3, [1, 0], 'x', [], [1, 1], [], [], [], [], 300],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [['m', 1, -1, 1, 1, 0]], [], [], [], 300],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [['e', 'both', 1]], [], [], 300],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], undefined, [], [], 300],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [7], [], 300],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [['s', 'x']], 300],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], undefined, 300],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [], -1],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], []],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [], 300, [-1]],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [], 300, [4, 7]],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [], 300, 'x'],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [], 300, [1], 'x'],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [], 300, [1], [['s', 1, -1]]],
    ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [], 300, [1], [['s', -7, 1]]],
  ];
  const valid = ['h', 'i', 3, [1, 0], [], [], [1, 1], [], [], [], [], 300];
  assert.ok(decodeHint(Buffer.from(JSON.stringify(valid))) !== undefined);
  malformed.forEach((fields) =>
    assert.equal(decodeHint(Buffer.from(JSON.stringify(fields))), undefined),
  );
});
