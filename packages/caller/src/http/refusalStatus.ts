import type { Refusal, RefusalCode } from '@camphorvane/core';

/** Header that says whether a refused request may have run: `not_run` or `unknown`. */
export const EXECUTION_HEADER = 'x-camphorvane-execution';

/** HTTP status of each refusal code. */
export const REFUSAL_STATUS: Readonly<Record<RefusalCode, number>> = {
  bad_request: 400,
  body_too_large: 413,
  body_timeout: 408,
  missing_key: 401,
  unknown_key: 401,
  key_withdrawn: 401,
  key_state_unconfirmed: 503,
  unknown_model: 404,
  unknown_service: 404,
  model_not_allowed: 403,
  prompt_too_long: 400,
  over_rate: 429,
  share_unavailable: 503,
  queue_full: 503,
  target_missed: 503,
  no_capacity: 503,
  host_draining: 503,
  idempotency_key_required: 400,
  idempotency_key_in_use: 409,
  idempotency_store_unavailable: 503,
  suspected_crasher: 422,
  upstream_failed: 502,
  upstreams_unreachable: 503,
  stream_version_unknown: 503,
  stream_version_gone: 503,
  outcome_unknown: 502,
  retry_budget_spent: 503,
  timed_out: 504,
  caller_gone: 499,
  internal: 500,
};

/** The JSON body of a refusal, in the error format of the OpenAI API. */
export interface RefusalBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: RefusalCode;
    readonly param: null;
    readonly execution: Refusal['execution'];
    readonly retry_after_ms?: number;
  };
}

/**
 * Gets the JSON body of a refusal.
 *
 * @param refusal - The refusal.
 * @returns The body.
 */
export function refusalBody(refusal: Refusal): RefusalBody {
  return {
    error: {
      message: refusal.message,
      type: errorType(REFUSAL_STATUS[refusal.code]),
      code: refusal.code,
      param: null,
      execution: refusal.execution,
      ...(refusal.retryAfterMs === undefined ? {} : { retry_after_ms: refusal.retryAfterMs }),
    },
  };
}

/**
 * Gets the headers of a refusal.
 *
 * @param refusal - The refusal.
 * @returns Header names and values; Retry-After in whole seconds, rounded up.
 */
export function refusalHeaders(refusal: Refusal): Record<string, string> {
  const headers: Record<string, string> = { [EXECUTION_HEADER]: refusal.execution };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000)));
  }
  return headers;
}

/**
 * Creates the HTTP response of a refusal.
 *
 * @param refusal - The refusal.
 * @returns The response.
 */
export function refusalResponse(refusal: Refusal): Response {
  return new Response(JSON.stringify(refusalBody(refusal)), {
    status: REFUSAL_STATUS[refusal.code],
    headers: { 'content-type': 'application/json', ...refusalHeaders(refusal) },
  });
}

function errorType(status: number): string {
  if (status === 429) return 'rate_limit_error';
  return status < 500 ? 'invalid_request_error' : 'server_error';
}
