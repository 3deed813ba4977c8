import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeDigest, decodeHint, encodeDigest, encodeHint } from '@camphorvane/peer/hints';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';

const COMMON = {
  ...{ host: 'h', incarnation: 'i', sequence: 1, engines: [], charged: [], demand: [], moves: [] },
  ...{ down: [], calls: [], versions: { config: 1, servers: 1 }, upstreams: [], quotes: [] },
  drained: { version: 0, zones: [] },
};
const HINT: HostHint = { ...COMMON, leaving: false, serving: true, nextMs: 300, digests: 'none' };
const DIGEST: HostDigest = { ...COMMON, hostCount: 2, silent: [], leaving: [], serving: ['h'] };
const CALL_TIMES = [
  { upstream: 's1', ms: 21, ageMs: 40 },
  { upstream: 'd1', ms: 0.324, ageMs: 900 },
];

function fieldsOf(bytes: Uint8Array): readonly unknown[] {
  return JSON.parse(Buffer.from(bytes).toString()) as readonly unknown[];
}

test('call times survive encoding and decoding', () => {
  const hint = { ...HINT, callTimes: CALL_TIMES };
  const digest = { ...DIGEST, callTimes: CALL_TIMES };
  assert.deepEqual(decodeHint(encodeHint(hint)), hint);
  assert.deepEqual(decodeDigest(encodeDigest(digest)), digest);
});

// Guards against hosts that don't hear each other during a rolling update. Fields between the reports on
// upstreams and the call times belong to other controls, and may come with or without call times.
test('messages with call times are exchanged with hosts that know none', () => {
  const before = fieldsOf(encodeHint(HINT)).length;
  const fields = fieldsOf(encodeHint({ ...HINT, callTimes: CALL_TIMES }));
  assert.deepEqual(fields.slice(before, -1), [[], null, []]);
  assert.deepEqual(decodeHint(Buffer.from(JSON.stringify(fields.slice(0, before)))), HINT);
  const digestBefore = fieldsOf(encodeDigest(DIGEST)).length;
  const digestFields = fieldsOf(encodeDigest({ ...DIGEST, callTimes: CALL_TIMES }));
  assert.deepEqual(digestFields.slice(digestBefore, -1), [[], null, []]);
  const old = Buffer.from(JSON.stringify(digestFields.slice(0, digestBefore)));
  assert.deepEqual(decodeDigest(old), DIGEST);
});

test('malformed call times make a message malformed', () => {
  const fields = fieldsOf(encodeHint({ ...HINT, callTimes: CALL_TIMES }));
  const broken = [...fields.slice(0, -1), [['s1', -1, 0]]];
  assert.equal(decodeHint(Buffer.from(JSON.stringify(broken))), undefined);
});
