import type { AnswerFault } from '@camphorvane/caller';
import type { Refusal, RefusalCause, RefusalCode } from '@camphorvane/core';

/** Why an answer did not end as whole. */
export type AnswerCause =
  | RefusalCause
  | 'upstream'
  | 'deadline'
  /** The caller left, or read nothing for too long. */
  | 'caller'
  /** An event could not follow in the answer, or the host failed. */
  | 'illegal'
  /** It was larger than what is held for its caller. */
  | 'bound'
  | 'overload'
  | 'request'
  | 'key'
  /** The host could not serve requests then. */
  | 'host';

const CAUSES: Readonly<Record<RefusalCode, AnswerCause>> = {
  bad_request: 'request',
  body_too_large: 'request',
  body_timeout: 'request',
  missing_key: 'request',
  unknown_key: 'request',
  key_withdrawn: 'key',
  key_state_unconfirmed: 'host',
  unknown_model: 'request',
  unknown_service: 'request',
  model_not_allowed: 'request',
  prompt_too_long: 'request',
  over_rate: 'overload',
  share_unavailable: 'overload',
  queue_full: 'overload',
  target_missed: 'overload',
  no_capacity: 'overload',
  host_draining: 'host',
  idempotency_key_required: 'request',
  idempotency_key_in_use: 'request',
  idempotency_store_unavailable: 'host',
  suspected_crasher: 'request',
  upstream_failed: 'upstream',
  upstreams_unreachable: 'upstream',
  stream_version_unknown: 'request',
  stream_version_gone: 'upstream',
  outcome_unknown: 'upstream',
  retry_budget_spent: 'upstream',
  timed_out: 'deadline',
  caller_gone: 'caller',
  internal: 'illegal',
};

/**
 * Gets why an answer did not end as whole.
 *
 * @param fault - What was wrong with its events; undefined where they were legal.
 * @param refusal - What ended its request; undefined where nothing did.
 * @returns The cause; `bound` where the way out to its caller stopped reading, though nothing had ended the request.
 */
export function answerCause(
  fault: AnswerFault | undefined,
  refusal: Refusal | undefined,
): AnswerCause {
  if (fault !== undefined) return 'illegal';
  return refusal === undefined ? 'bound' : (refusal.cause ?? CAUSES[refusal.code]);
}
