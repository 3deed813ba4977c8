import type { Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';

/**
 * Gets why a request was ended from outside: the host's refusal, or that its caller has gone.
 *
 * @param signal - The request's aborted signal.
 * @returns The refusal; its `execution` is for whoever knows what ran.
 */
export function endReason(signal: AbortSignal): Refusal {
  const reason: unknown = signal.reason;
  return isRefusal(reason) ? reason : notRun('caller_gone', 'The caller closed its connection.');
}

function isRefusal(value: unknown): value is Refusal {
  return typeof value === 'object' && value !== null && 'code' in value && 'execution' in value;
}
