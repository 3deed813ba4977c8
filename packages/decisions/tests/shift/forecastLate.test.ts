import assert from 'node:assert/strict';
import { test } from 'node:test';
import { forecastLate } from '@camphorvane/decisions';
import { makeSpans, memoryOf } from '../support/demand.ts';

const SHAPE = { promptTokens: 3_000, outputTokens: 800 };
const TOKEN_MS = 4;
const HOLD_MS = SHAPE.outputTokens * TOKEN_MS;
const OPTS = { onTimeMs: 540, factor: 1 };

/** Memory for so many requests a second, without a reserve. */
const memoryFor = (perSecond: number): number => (perSecond * memoryOf(SHAPE) * HOLD_MS) / 1_000;

const late = (perSecond: number, readPerMs: number, memoryTokens: number): number => {
  const spans = makeSpans(SHAPE, () => perSecond, 20_000);
  return forecastLate(spans, { readPerMs, memoryTokens, tokenMs: TOKEN_MS }, OPTS);
};

test('nobody is late where both stages have room', () => {
  assert.equal(late(8, 200, memoryFor(24)), 0);
});

test('with memory for half of the requests about half are late', () => {
  const part = late(8, 200, memoryFor(4));
  assert.ok(part > 0.35 && part < 0.65, `${part}`);
});

test('with reading for half of the requests about half are late', () => {
  const part = late(8, (8 * 3_000) / 1_000 / 2, memoryFor(24));
  assert.ok(part > 0.35 && part < 0.65, `${part}`);
});

// A host has seen two seconds of traffic, in which the engines' memory has only begun to fill. Played
// once, that stretch would make nobody late, and the host would find out when all wait.
test('a short stretch is taken to go on', () => {
  const spans = makeSpans(SHAPE, () => 8, 2_000, 3);
  const capacity = { readPerMs: 200, memoryTokens: memoryFor(4), tokenMs: TOKEN_MS };
  assert.ok(forecastLate(spans, capacity, OPTS) > 0.2);
});

// A burst asks for twice the memory that there is. What gets no memory is never read; were its prompts
// counted at the prefill engines, they would seem short too, and an engine that idles could not be spared.
test('requests that get no memory need no prefill engine', () => {
  const memory = memoryFor(10);
  const readFor = (perSecond: number): number => (perSecond * SHAPE.promptTokens) / 1_000;
  const plenty = late(20, readFor(40), memory);
  const enough = late(20, readFor(14), memory);
  assert.ok(plenty > 0.35 && plenty < 0.65, `${plenty}`);
  assert.ok(enough - plenty < 0.03, `${enough} instead of ${plenty}`);
});

test('no demand, nobody late', () => {
  const capacity = { readPerMs: 1, memoryTokens: 1, tokenMs: 1 };
  assert.equal(forecastLate([], capacity, OPTS), 0);
});
