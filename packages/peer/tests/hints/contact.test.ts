import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeDigest, decodeHint, encodeDigest, encodeHint } from '@camphorvane/peer/hints';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';

const HINT: HostHint = {
  ...{ host: 'h', incarnation: 'i', sequence: 1, leaving: false, digests: 'none', serving: true },
  ...{ nextMs: 200, engines: [], charged: [], demand: [], moves: [], down: [], calls: [] },
  ...{ versions: { config: 1, servers: 2 }, drained: { version: 0, zones: [] } },
  ...{ upstreams: [], quotes: [], contact: { answeredMsAgo: 40, steadyMs: 9_000 } },
};

const DIGEST: HostDigest = {
  ...{ host: 'h', incarnation: 'i', sequence: 1, hostCount: 3, engines: [], charged: [] },
  ...{ demand: [], moves: [], down: [], calls: [], silent: [], leaving: [], serving: ['h'] },
  ...{ versions: { config: 1, servers: 2 }, drained: { version: 0, zones: [] } },
  ...{ upstreams: [], quotes: [], contact: { answeredMsAgo: 40, steadyMs: 9_000 } },
};

const versionsOf = (bytes: Buffer, at: number): unknown =>
  (JSON.parse(bytes.toString()) as unknown[])[at];

test('what a host reports of the responses of the store passes with hints and digests', () => {
  assert.deepEqual(decodeHint(encodeHint(HINT)), HINT);
  assert.deepEqual(decodeDigest(encodeDigest(DIGEST)), DIGEST);
  const unwatched: HostDigest = { ...DIGEST, unwatched: true };
  assert.deepEqual(decodeDigest(encodeDigest(unwatched)), unwatched);
});

// Guards against a rolling update in which hosts of the earlier version misread the messages of the new one.
test('the fields before the report are the same as without it', () => {
  assert.deepEqual(versionsOf(encodeHint(HINT), 6), [1, 2, 40, 9_000]);
  assert.deepEqual(versionsOf(encodeHint({ ...HINT, contact: undefined }), 6), [1, 2]);
  assert.deepEqual(versionsOf(encodeDigest(DIGEST), 9), [1, 2, 0, 40, 9_000]);
  assert.deepEqual(versionsOf(encodeDigest({ ...DIGEST, contact: undefined }), 9), [1, 2]);
});

// Guards against a spoiled message that makes the store look steady for ever, or takes the versions with it.
test('a malformed report is left out', () => {
  const fields = JSON.parse(encodeHint(HINT).toString()) as unknown[];
  const spoiled = [
    [1, 2, -1, 5],
    [1, 2, 5],
    [1, 2, 'x', {}],
    [1, 2, null, 1e308 * 10],
  ];
  spoiled.forEach((versions) => {
    const bytes = Buffer.from(JSON.stringify(fields.map((one, at) => (at === 6 ? versions : one))));
    assert.equal(decodeHint(bytes)?.contact, undefined);
    assert.deepEqual(decodeHint(bytes)?.versions, { config: 1, servers: 2 });
  });
});

// Guards against a host that waits for a version of the store which no change can exceed.
test('a message with versions that can not be counted up is malformed', () => {
  const hint = JSON.parse(encodeHint(HINT).toString()) as unknown[];
  const digest = JSON.parse(encodeDigest(DIGEST).toString()) as unknown[];
  const spoil = (fields: readonly unknown[], at: number, value: unknown): Buffer =>
    Buffer.from(JSON.stringify(fields.map((one, index) => (index === at ? value : one))));
  [1e308, 2 ** 53, 0.5].forEach((version) => {
    assert.equal(decodeHint(spoil(hint, 6, [1, version])), undefined);
    assert.equal(decodeHint(spoil(hint, 12, [version])), undefined);
    assert.equal(decodeDigest(spoil(digest, 9, [version, 2])), undefined);
  });
});

// Guards against a peer's message nested so deeply that its reader exceeds the stack.
test('a deeply nested field makes a message malformed, or is left out', () => {
  const deep = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
  const fields = JSON.parse(encodeHint(HINT).toString()) as unknown[];
  fields.forEach((_, at) => {
    const texts = fields.map((field, index) => (index === at ? deep : JSON.stringify(field)));
    assert.doesNotThrow(() => decodeHint(Buffer.from(`[${texts.join()}]`)), `field ${at}`);
  });
});
