import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { UsageRow } from '@camphorvane/decisions';
import { decodeDigest, decodeHint, encodeDigest, encodeHint } from '@camphorvane/peer/hints';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';

type Usage = readonly UsageRow[];

const SHARED = {
  ...{ host: 'h', incarnation: 'i', sequence: 3, engines: [], charged: [], demand: [], moves: [] },
  ...{ calls: [], down: [], versions: { config: 7, servers: 9 }, upstreams: [], quotes: [] },
  drained: { version: 0, zones: [] },
};
const HINT: HostHint = { ...SHARED, leaving: false, serving: true, nextMs: 300, digests: 'often' };
const DIGEST: HostDigest = { ...SHARED, hostCount: 40, silent: [], serving: [], leaving: [] };
const USAGE: Usage = [
  ['a', 'c:orders', 0.42],
  ['', 'm:llm', 18_000],
];

/** Each kind of message: its number of fields without usage, and its two directions. */
const MESSAGES = [
  [14, (usage?: Usage) => encodeHint({ ...HINT, usage }), decodeHint],
  [17, (usage?: Usage) => encodeDigest({ ...DIGEST, usage }), decodeDigest],
] as const;

// Guards against hosts that don't hear each other during a rolling update, and against messages that change
// while fair shares are switched off.
test('messages without usage are those of the release before, and messages with usage are read', () => {
  MESSAGES.forEach(([fields, encode, decode]) => {
    const before = JSON.parse(encode().toString()) as readonly unknown[];
    assert.equal(before.length, fields);
    assert.equal(decode(encode())?.usage, undefined);
    const after = JSON.parse(encode(USAGE).toString()) as readonly unknown[];
    assert.deepEqual(after.slice(0, fields), before, 'the usage comes after all other fields');
    assert.deepEqual(after.slice(fields), [[], USAGE]);
    assert.deepEqual(decode(encode(USAGE))?.usage, USAGE);
    assert.deepEqual(decode(encode([]))?.usage, [], 'a host that holds nothing says so');
  });
});

// Guards against peers that make a host keep more rows than the bound, or rows that are no numbers.
test('rows beyond the bound are ignored, and malformed ones make a message malformed', () => {
  const many = Array.from({ length: 70 }, (_, i): UsageRow => [`t${i}`, 'c:orders', 1]);
  MESSAGES.forEach(([, encode, decode]) => {
    assert.equal(decode(encode(many))?.usage?.length, 64);
    [['a', 'c:orders', -1], ['a', 'c:orders'], ['a', 7, 1], 'x'].forEach((row) => {
      assert.equal(decode(encode([row as unknown as UsageRow])), undefined, JSON.stringify(row));
    });
  });
});
