import assert from 'node:assert/strict';
import { test } from 'node:test';
import { forecastLateShare } from '@camphorvane/decisions';
import { makeDemandBuckets, memoryOf } from '../support/demand.ts';

const SHAPE = { promptTokens: 3_000, outputTokens: 800 };
const TOKEN_MS = 4;
const HOLD_MS = SHAPE.outputTokens * TOKEN_MS;
const OPTS = { onTimeMs: 540, factor: 1 };

/** Memory for a number of requests per second, without a reserve. */
const memoryFor = (perSecond: number): number => (perSecond * memoryOf(SHAPE) * HOLD_MS) / 1_000;

const forecast = (perSecond: number, prefillTokensPerMs: number, memoryTokens: number): number => {
  const spans = makeDemandBuckets(SHAPE, () => perSecond, 20_000);
  return forecastLateShare(
    spans,
    { prefillTokensPerMs, memoryTokens, tokenIntervalMs: TOKEN_MS },
    OPTS,
  );
};

test('no request is late while both stages have spare capacity', () => {
  assert.equal(forecast(8, 200, memoryFor(24)), 0);
});

test('about half of the requests are late with memory for half of them', () => {
  const share = forecast(8, 200, memoryFor(4));
  assert.ok(share > 0.35 && share < 0.65, `${share}`);
});

test('about half of the requests are late with prefill capacity for half of them', () => {
  const share = forecast(8, (8 * 3_000) / 1_000 / 2, memoryFor(24));
  assert.ok(share > 0.35 && share < 0.65, `${share}`);
});

// Two seconds of demand only begin to fill the engines' memory. Replayed once, they would show no
// late requests, and the overload would be noticed only once all requests wait.
test('a short history is repeated', () => {
  const spans = makeDemandBuckets(SHAPE, () => 8, 2_000, 3);
  const capacity = {
    prefillTokensPerMs: 200,
    memoryTokens: memoryFor(4),
    tokenIntervalMs: TOKEN_MS,
  };
  assert.ok(forecastLateShare(spans, capacity, OPTS) > 0.2);
});

// With demand for twice the memory, requests that get none are never prefilled. If their prompts
// counted as prefill demand, prefill would seem short too, and no idle prefill engine could be moved.
test('requests without decode memory take no prefill capacity', () => {
  const memory = memoryFor(10);
  const prefillRateFor = (perSecond: number): number => (perSecond * SHAPE.promptTokens) / 1_000;
  const plenty = forecast(20, prefillRateFor(40), memory);
  const enough = forecast(20, prefillRateFor(14), memory);
  assert.ok(plenty > 0.35 && plenty < 0.65, `${plenty}`);
  assert.ok(enough - plenty < 0.03, `${enough} instead of ${plenty}`);
});

test('without demand no request is late', () => {
  const capacity = { prefillTokensPerMs: 1, memoryTokens: 1, tokenIntervalMs: 1 };
  assert.equal(forecastLateShare([], capacity, OPTS), 0);
});
