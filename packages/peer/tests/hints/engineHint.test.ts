import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineHint } from '@camphorvane/peer/hints';
import { decodeEngineHint, encodeEngineHint } from '../../src/hints/hintRowCodec.ts';

const LOAD: EngineHint = { engine: 'e', prefillTokens: 1, streams: 2, memoryTokens: 3 };
const HELD: EngineHint = { ...LOAD, held: { tokens: 7_000, growthPerMs: 3.636 } };

test('what streams hold on an engine survives encoding and decoding', () => {
  assert.deepEqual(decodeEngineHint(encodeEngineHint(HELD)), HELD);
});

// Guards against hosts that don't hear each other during a rolling update, and against other messages than
// before while moves are off.
test('engine rows are exchanged with hosts that know nothing of what streams hold', () => {
  assert.deepEqual(encodeEngineHint(LOAD), ['e', 1, 2, 3]);
  assert.deepEqual(encodeEngineHint(HELD).slice(0, 4), ['e', 1, 2, 3]);
  assert.deepEqual(decodeEngineHint(['e', 1, 2, 3]), LOAD);
});

test('malformed figures of what streams hold are not decoded', () => {
  [
    ['e', 1, 2, 3, -1, 0],
    ['e', 1, 2, 3, 'x', 0],
    ['e', 1, 2, 3, 1, -1],
  ].forEach((row) => assert.equal(decodeEngineHint(row), undefined));
});
