import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeDigest, decodeHint, encodeDigest, encodeHint } from '@camphorvane/peer/hints';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';

const HINT: HostHint = {
  ...{ host: 'h', incarnation: 'i', sequence: 1, leaving: false, digests: 'none', serving: true },
  ...{ nextMs: 200, engines: [], charged: [], demand: [], moves: [], down: [], calls: [] },
  ...{ versions: { config: 1, servers: 2 }, drained: { version: 0, zones: [] } },
  ...{ upstreams: [], quotes: [] },
  reach: { contacts: [{ service: 's', ageMs: 40 }], unreached: ['llm'] },
};

const DIGEST: HostDigest = {
  ...{ host: 'h', incarnation: 'i', sequence: 1, hostCount: 3, engines: [], charged: [] },
  ...{ demand: [], moves: [], down: [], calls: [], silent: [], leaving: [], serving: ['h'] },
  ...{ versions: { config: 1, servers: 2 }, drained: { version: 0, zones: [] } },
  ...{ upstreams: [], quotes: [] },
  reach: {
    contacts: [{ service: 's', ageMs: 40 }],
    unreached: [{ services: ['llm', 's'], hosts: ['a', 'b'] }],
    silent: ['old'],
  },
};

test('the services that hosts reach pass with hints and digests', () => {
  assert.deepEqual(decodeHint(encodeHint(HINT)), HINT);
  assert.deepEqual(decodeDigest(encodeDigest(DIGEST)), DIGEST);
});

// Guards against a rolling update in which hosts of the earlier version drop the messages of the new one.
test('the fields before the services are the same as without them', () => {
  const fieldsOf = (bytes: Buffer): readonly unknown[] => JSON.parse(bytes.toString()) as unknown[];
  const suspicion = [[], [], []];
  const hint = fieldsOf(encodeHint(HINT));
  assert.deepEqual(hint.slice(15, 19), [null, [], [], suspicion]);
  const digest = fieldsOf(encodeDigest(DIGEST));
  assert.deepEqual(digest.slice(18, 22), [null, [], [], suspicion]);
  assert.equal(decodeHint(Buffer.from(JSON.stringify(hint.slice(0, 19))))?.reach, undefined);
});

// Guards against one malformed field of a peer that hides everything else that it reports.
test('a malformed report of services is left out', () => {
  const hint = JSON.parse(encodeHint(HINT).toString()) as unknown[];
  hint[19] = [['s'], 7];
  const decoded = decodeHint(Buffer.from(JSON.stringify(hint)));
  assert.equal(decoded?.host, 'h');
  assert.equal(decoded?.reach, undefined);
});
