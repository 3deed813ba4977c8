import { notRun, outcomeUnknown, type Refusal } from '@camphorvane/core';
import type { ClaimOutcome } from './Claim.ts';

/** Retry delay suggested to a caller whose call is still running, in milliseconds. */
const IN_USE_RETRY_MS = 1000;

/**
 * Gets the refusal for a claim that was not granted.
 *
 * It says `not_run` only where, as far as this host knows, no attempt with this key has run.
 *
 * @param outcome - The result of the claim.
 * @returns The refusal; undefined where the call may be dispatched or a stored response exists.
 */
export function claimRefusal(outcome: ClaimOutcome): Refusal | undefined {
  switch (outcome.type) {
    case 'claimed':
      return undefined;
    case 'finished':
      return outcome.answer === undefined
        ? outcomeUnknown(
            'outcome_unknown',
            'This call was carried out before; its answer was too large to be kept.',
          )
        : undefined;
    case 'in_use':
      return {
        ...outcomeUnknown(
          'idempotency_key_in_use',
          'A call with this Idempotency-Key is under way; send it again to get its answer.',
        ),
        retryAfterMs: IN_USE_RETRY_MS,
      };
    case 'outcome_unknown':
      return outcomeUnknown(
        'outcome_unknown',
        'A call with this Idempotency-Key was started and its outcome is not known; it is not repeated.',
      );
    case 'mismatch':
      return notRun(
        'bad_request',
        'This Idempotency-Key was used for another request; use a new key for a new request.',
      );
    case 'unavailable':
      return notRun(
        'idempotency_store_unavailable',
        'This call must not run twice, and its Idempotency-Key can not be recorded now.',
        outcome.retryAfterMs,
      );
    default:
      return outcome satisfies never;
  }
}
