import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type BrokenStream, type ResumeMeans, planResume } from '@camphorvane/decisions';

const BROKEN: BrokenStream = {
  idempotent: true,
  promptTokens: 6_000,
  deliveredTokens: 40,
  maxOutputTokens: 400,
  patienceMs: 5_000,
  kv: undefined,
};

const MEANS: ResumeMeans = {
  prefillWaitMs: 100,
  prefillRate: 30,
  transferMs: 60,
  mayRetry: () => true,
};

test('goes on at the token where the stream broke, from the cheapest source that is left', () => {
  // The decode engine dies after forty tokens. The caller should see the forty-first next, not the
  // first again and not an end.
  const kv = { engine: 'p1', availableUntil: 1_500, transferMs: 60 };
  assert.deepEqual(planResume({ ...BROKEN, kv }, MEANS, 1_000), {
    type: 'import_kv',
    source: 'p1',
    fromPosition: 40,
  });
  assert.deepEqual(planResume({ ...BROKEN, kv }, MEANS, 1_490), {
    type: 'prefill_again',
    tokens: 6_040,
    fromPosition: 40,
  });
});

test('never repeats what must not run twice, whatever is at hand', () => {
  // The server of a certificate issue dies without an answer. A second dispatch could issue the
  // certificate twice; the caller must hear that the outcome is unknown.
  const kv = { engine: 'p1', availableUntil: 1_500, transferMs: 60 };
  const plan = planResume({ ...BROKEN, idempotent: false, kv }, MEANS, 0);
  assert.deepEqual(plan, { type: 'end', reason: 'not_idempotent' });
});

test('ends at once what would come too late or is beyond the budget, and spends no budget on it', () => {
  const late = { ...MEANS, prefillWaitMs: 6_000, mayRetry: () => assert.fail('asked for budget') };
  assert.deepEqual(planResume(BROKEN, late, 0), { type: 'end', reason: 'too_late' });
  const poor = { ...MEANS, mayRetry: () => false };
  assert.deepEqual(planResume(BROKEN, poor, 0), { type: 'end', reason: 'budget_spent' });
});
