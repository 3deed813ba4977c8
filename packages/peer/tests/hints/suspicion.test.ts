import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SuspicionReports } from '@camphorvane/decisions';
import { decodeDigest, decodeHint, encodeDigest, encodeHint } from '@camphorvane/peer/hints';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';

const COMMON = {
  ...{ host: 'h', incarnation: 'i', sequence: 1, engines: [], charged: [], demand: [], moves: [] },
  ...{ down: [], calls: [], versions: { config: 1, servers: 1 }, upstreams: [], quotes: [] },
  drained: { version: 0, zones: [] },
};
const HINT: HostHint = { ...COMMON, leaving: false, serving: true, nextMs: 300, digests: 'none' };
const DIGEST: HostDigest = { ...COMMON, hostCount: 2, silent: [], leaving: [], serving: ['h'] };
const SUSPICION: SuspicionReports = {
  crashes: [
    { digest: 'bad', upstream: 'd1@1700', ageMs: 40 },
    { digest: 'beside', upstream: 'd1@1700', ageMs: 40 },
    { digest: 'bad', upstream: 'd2', ageMs: 30_000 },
  ],
  answers: [{ digest: 'beside', ageMs: 12 }],
  survivals: [{ upstream: 'd3', ageMs: 250 }],
};

function fieldsOf(bytes: Uint8Array): readonly unknown[] {
  return JSON.parse(Buffer.from(bytes).toString()) as readonly unknown[];
}

test('reports on crashed upstreams survive encoding and decoding', () => {
  const hint = { ...HINT, suspicion: SUSPICION };
  const digest = { ...DIGEST, suspicion: SUSPICION };
  assert.deepEqual(decodeHint(encodeHint(hint)), hint);
  assert.deepEqual(decodeDigest(encodeDigest(digest)), digest);
});

// Guards against hosts that don't hear each other during a rolling update: the reports follow all fields that
// hosts of the earlier version read, and are left out where there are none.
test('messages with reports on crashed upstreams are exchanged with hosts that know none', () => {
  [{}, { callTimes: [{ upstream: 's1', ms: 21, ageMs: 40 }] }].forEach((optional) => {
    const hint = { ...HINT, ...optional };
    const hintFields = fieldsOf(encodeHint({ ...hint, suspicion: SUSPICION }));
    assert.deepEqual(decodeHint(Buffer.from(JSON.stringify(hintFields.slice(0, -1)))), hint);
    const digest = { ...DIGEST, ...optional };
    const digestFields = fieldsOf(encodeDigest({ ...digest, suspicion: SUSPICION }));
    assert.deepEqual(decodeDigest(Buffer.from(JSON.stringify(digestFields.slice(0, -1)))), digest);
  });
  const none = { ...HINT, suspicion: { crashes: [], answers: [], survivals: [] } };
  assert.deepEqual(encodeHint(none), encodeHint(HINT));
});

test('malformed reports on crashed upstreams make a message malformed', () => {
  const fields = fieldsOf(encodeHint({ ...HINT, suspicion: SUSPICION }));
  const malformed = [
    ...[7, [[]], [[], []], [[], [['bad']], []], [[], [], [['d1', -1]]]],
    ...[
      [[['d1', -1, 'bad']], [], []],
      [[['d1', 0, 7]], [], []],
    ],
  ];
  malformed.forEach((field) => {
    const broken = [...fields.slice(0, -1), field];
    assert.equal(decodeHint(Buffer.from(JSON.stringify(broken))), undefined);
  });
});

const SHARED: SuspicionReports = {
  crashes: [...SUSPICION.crashes, { digest: '+part', upstream: 'd1@1700', ageMs: 40 }],
  answers: [...SUSPICION.answers, { digest: '+other', ageMs: 7 }],
  survivals: SUSPICION.survivals,
  trials: [
    { digest: 't1', ageMs: 90, state: 'running', upstream: undefined },
    { digest: 't2', ageMs: 900, state: 'failed', upstream: 'd4' },
  ],
};

test('reports on what requests share survive encoding and decoding', () => {
  const hint = { ...HINT, suspicion: SHARED };
  const digest = { ...DIGEST, suspicion: SHARED };
  assert.deepEqual(decodeHint(encodeHint(hint)), hint);
  assert.deepEqual(decodeDigest(encodeDigest(digest)), digest);
});

// Guards against hosts of an earlier version that take a part for a request with more crashes than others, and
// let those run.
test('hosts of an earlier version read nothing of what requests share', () => {
  const plain = fieldsOf(encodeHint({ ...HINT, suspicion: SUSPICION })).at(-1);
  const shared = fieldsOf(encodeHint({ ...HINT, suspicion: SHARED })).at(-1);
  assert.deepEqual((shared as readonly unknown[]).slice(0, 3), plain);
});

test('malformed reports on what requests share make a message malformed', () => {
  const fields = fieldsOf(encodeHint({ ...HINT, suspicion: SHARED }));
  const trials = [
    [7, 0, 0],
    ['t', -1, 0],
    ['t', 0, 3],
    ['t', 0, 1, 7],
  ];
  const malformed = [
    7,
    [[['d1', -1, '+bad']]],
    [[], [['+bad']]],
    ...trials.map((row) => [[], [], [row]]),
  ];
  malformed.forEach((rows) => {
    const broken = [...fields.slice(0, -1), [[], [], [], rows]];
    assert.equal(decodeHint(Buffer.from(JSON.stringify(broken))), undefined);
  });
});
