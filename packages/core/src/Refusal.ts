/**
 * What is known about whether a refused request ran.
 *
 * `not_run` is said only where no upstream was given the work; anything after dispatch that has no
 * answer is `unknown`, since a caller who reads `not_run` may safely send the request again.
 */
export type Execution = 'not_run' | 'unknown';

/** Every reason for which a caller is refused; docs/ERRORS.md explains each. */
export const REFUSAL_CODES = [
  'bad_request',
  'body_too_large',
  'body_timeout',
  'missing_key',
  'unknown_key',
  'key_withdrawn',
  'key_state_unconfirmed',
  'unknown_model',
  'unknown_service',
  'model_not_allowed',
  'prompt_too_long',
  'over_rate',
  'share_unavailable',
  'queue_full',
  'target_missed',
  'no_capacity',
  'host_draining',
  'idempotency_key_required',
  'idempotency_key_in_use',
  'idempotency_store_unavailable',
  'suspected_crasher',
  'upstream_failed',
  'outcome_unknown',
  'retry_budget_spent',
  'timed_out',
  'caller_gone',
  'internal',
] as const;

/** One of {@link REFUSAL_CODES}. */
export type RefusalCode = (typeof REFUSAL_CODES)[number];

/** A refusal as the caller sees it. */
export interface Refusal {
  readonly code: RefusalCode;
  /** One plain sentence for a person. */
  readonly message: string;
  readonly execution: Execution;
  /** Milliseconds after which a retry may succeed; absent where waiting does not help. */
  readonly retryAfterMs?: number;
}

/**
 * Makes a refusal for work that no upstream was given.
 *
 * @param code - The stable code.
 * @param message - One sentence for a person.
 * @param retryAfterMs - Milliseconds after which a retry may succeed.
 * @returns The refusal, with execution `not_run`.
 */
export function notRun(code: RefusalCode, message: string, retryAfterMs?: number): Refusal {
  return { code, message, execution: 'not_run', retryAfterMs };
}

/**
 * Makes a refusal for work that an upstream may have run.
 *
 * @param code - The stable code.
 * @param message - One sentence for a person.
 * @returns The refusal, with execution `unknown`.
 */
export function outcomeUnknown(code: RefusalCode, message: string): Refusal {
  return { code, message, execution: 'unknown' };
}
