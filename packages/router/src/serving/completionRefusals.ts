import type { Refusal } from '@camphorvane/core';
import { outcomeUnknown } from '@camphorvane/core';
import { abortRefusal } from './abortRefusal.ts';
import type { CompletionProgress } from './CompletionProgress.ts';
import type { ResolvedCompletion } from './resolvedCompletion.ts';
import { mayHaveExecuted } from './resolvedCompletion.ts';

/** Gets the refusal of a completion whose engines failed. */
export function enginesFailed(): Refusal {
  return outcomeUnknown('upstream_failed', 'The engines that ran this request failed.');
}

/** Gets the refusal of a completion that may not be retried for the retry budget. */
export function budgetSpent(): Refusal {
  const text = 'The engine failed, and the retry budget is spent.';
  return { ...outcomeUnknown('retry_budget_spent', text), retryAfterMs: 2_000 };
}

/** Sets a refusal's `execution`, which must not be `not_run` once an engine may have run the request. */
export function completionRefusal(
  completion: ResolvedCompletion,
  progress: CompletionProgress,
  refusal: Refusal,
): Refusal {
  const failure: Refusal = progress.wasStopped() ? { ...refusal, cause: 'stop_order' } : refusal;
  const reason = completion.signal.aborted ? abortRefusal(completion.signal) : failure;
  return mayHaveExecuted(completion, progress)
    ? { ...reason, execution: 'unknown' }
    : { ...reason, execution: 'not_run' };
}
