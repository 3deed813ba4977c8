/**
 * Whether a refused request may have run.
 *
 * `not_run` means that the request was dispatched to no upstream, so the caller may safely retry it. A
 * request that was dispatched and got no response is `unknown`.
 */
export type Execution = 'not_run' | 'unknown';

/** All refusal codes; docs/ERRORS.md explains each. */
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
  'upstreams_unreachable',
  'stream_version_unknown',
  'stream_version_gone',
  'outcome_unknown',
  'retry_budget_spent',
  'timed_out',
  'caller_gone',
  'internal',
] as const;

/** One of {@link REFUSAL_CODES}. */
export type RefusalCode = (typeof REFUSAL_CODES)[number];

/** What broke an answer off, where the code of its refusal does not tell. */
export type RefusalCause =
  /** An engine obeyed an order to stop its run. */
  | 'stop_order'
  /** The host that served the request was lost. */
  | 'peer'
  /** The host that served the request stopped. */
  | 'host_stopping';

/** A refusal as the caller sees it. */
export interface Refusal {
  readonly code: RefusalCode;
  /** One human-readable sentence. */
  readonly message: string;
  readonly execution: Execution;
  /** Milliseconds after which a retry may succeed; absent where waiting does not help. */
  readonly retryAfterMs?: number;
  /** For logs and counters; callers don't get it. */
  readonly cause?: RefusalCause;
}

/**
 * Creates a refusal for a request that was dispatched to no upstream.
 *
 * @param code - One of {@link REFUSAL_CODES}.
 * @param message - One human-readable sentence.
 * @param retryAfterMs - Milliseconds after which a retry may succeed.
 * @returns The refusal, with execution `not_run`.
 */
export function notRun(code: RefusalCode, message: string, retryAfterMs?: number): Refusal {
  return { code, message, execution: 'not_run', retryAfterMs };
}

/**
 * Creates a refusal for a request that an upstream may have run.
 *
 * @param code - One of {@link REFUSAL_CODES}.
 * @param message - One human-readable sentence.
 * @returns The refusal, with execution `unknown`.
 */
export function outcomeUnknown(code: RefusalCode, message: string): Refusal {
  return { code, message, execution: 'unknown' };
}
