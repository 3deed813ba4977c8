import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeDigest, decodeHint, encodeDigest, encodeHint } from '@camphorvane/peer/hints';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';

const HINT: HostHint = {
  ...{ host: 'h', incarnation: 'i', sequence: 1, leaving: false, digests: 'none', serving: true },
  ...{ nextMs: 200, engines: [], charged: [], demand: [], moves: [], down: [], calls: [] },
  ...{ versions: { config: 1, servers: 2 }, drained: { version: 0, zones: [] } },
  ...{ upstreams: [], quotes: [] },
  retries: {
    isNew: true,
    used: [['s', 3]],
    ended: [
      { host: 'a', incarnation: 'x', ageMs: 40, end: { type: 'lost' } },
      { host: 'a', incarnation: 'y', ageMs: 20, end: { type: 'lost_early' } },
      { host: 'b', incarnation: 'z', ageMs: 70, end: { type: 'reported', used: [['s', 2]] } },
    ],
  },
};

const DIGEST: HostDigest = {
  ...{ host: 'h', incarnation: 'i', sequence: 1, hostCount: 3, engines: [], charged: [] },
  ...{ demand: [], moves: [], down: [], calls: [], silent: [], leaving: [], serving: ['h'] },
  ...{ versions: { config: 1, servers: 2 }, drained: { version: 0, zones: [] } },
  ...{ upstreams: [], quotes: [] },
  retries: { used: [['s', 9]], endedUse: [['s', 2]], lost: 2, lostEarly: 1 },
};

test('what hosts have used of retry budgets passes with hints and digests', () => {
  assert.deepEqual(decodeHint(encodeHint(HINT)), HINT);
  assert.deepEqual(decodeDigest(encodeDigest(DIGEST)), DIGEST);
});

// Guards against bytes that each message of a calm fleet would take.
test('a host that has used nothing sends no more than before', () => {
  const { retries, ...before } = HINT;
  const calm = { isNew: false, used: [], ended: [] };
  assert.ok(retries !== undefined);
  assert.deepEqual(encodeHint({ ...HINT, retries: calm }), encodeHint(before));
});

// Guards against one malformed field of a peer that hides everything else that it reports.
test('a malformed report of retry budgets is left out', () => {
  const hint = JSON.parse(encodeHint(HINT).toString()) as unknown[];
  const spoiled = [
    [1, [['s', 'x']], []],
    [0, [], [['a', 'x', 4, 7]]],
    3,
    [0, [], [['a', 1, 4, 0]]],
  ];
  spoiled.forEach((field) => {
    hint[20] = field;
    const decoded = decodeHint(Buffer.from(JSON.stringify(hint)));
    assert.equal(decoded?.host, 'h');
    assert.equal(decoded?.retries, undefined);
  });
});
