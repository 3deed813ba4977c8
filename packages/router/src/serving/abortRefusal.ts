import type { Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';

/**
 * Gets the refusal of an aborted request: the one that the host aborted it with, else `caller_gone`.
 *
 * @param signal - The request's aborted signal.
 * @returns The refusal; the caller of this function sets `execution`, as it knows what was dispatched.
 */
export function abortRefusal(signal: AbortSignal): Refusal {
  const reason: unknown = signal.reason;
  return isRefusal(reason) ? reason : notRun('caller_gone', 'The caller closed its connection.');
}

function isRefusal(value: unknown): value is Refusal {
  return typeof value === 'object' && value !== null && 'code' in value && 'execution' in value;
}
