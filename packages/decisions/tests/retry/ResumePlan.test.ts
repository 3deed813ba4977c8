import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type InterruptedStream, type ResumeContext, planResume } from '@camphorvane/decisions';

const STREAM: InterruptedStream = {
  idempotent: true,
  promptTokens: 6_000,
  deliveredTokens: 40,
  maxOutputTokens: 400,
  maxPauseMs: 5_000,
  kv: undefined,
};

const CONTEXT: ResumeContext = {
  prefillWaitMs: 100,
  prefillTokensPerMs: 30,
  transferMs: 60,
  mayRetry: () => true,
};

test('resumes at the token where the stream was interrupted, from the cheapest source left', () => {
  // The decode engine fails after 40 tokens: the caller must get token 41 next, neither a restart nor
  // an end of the stream.
  const kv = { engine: 'p1', availableUntil: 1_500, transferMs: 60 };
  assert.deepEqual(planResume({ ...STREAM, kv }, CONTEXT, 1_000), {
    type: 'import_kv',
    source: 'p1',
    fromPosition: 40,
  });
  assert.deepEqual(planResume({ ...STREAM, kv }, CONTEXT, 1_490), {
    type: 'prefill_again',
    tokens: 6_040,
    fromPosition: 40,
  });
});

test('never retries a non-idempotent call, even with a KV cache left', () => {
  // A server that issues certificates fails without an answer: a second dispatch could issue the
  // certificate twice, so the caller must be told that the outcome is unknown.
  const kv = { engine: 'p1', availableUntil: 1_500, transferMs: 60 };
  const plan = planResume({ ...STREAM, idempotent: false, kv }, CONTEXT, 0);
  assert.deepEqual(plan, { type: 'end', reason: 'not_idempotent' });
});

test('ends a stream that can not resume in time, uncharged, or whose budget is exhausted', () => {
  const late = {
    ...CONTEXT,
    prefillWaitMs: 6_000,
    mayRetry: () => assert.fail('the budget was charged'),
  };
  assert.deepEqual(planResume(STREAM, late, 0), { type: 'end', reason: 'too_late' });
  const exhausted = { ...CONTEXT, mayRetry: () => false };
  assert.deepEqual(planResume(STREAM, exhausted, 0), { type: 'end', reason: 'budget_spent' });
});
