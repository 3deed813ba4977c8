import type { Millis, Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';

/**
 * Creates the refusal of a request that may crash the upstream that runs it.
 *
 * @param isShared - Whether other requests may have what is suspected.
 * @param retryAfterMs - Milliseconds until it may be tried.
 * @returns The refusal.
 */
export function suspectRefusal(isShared: boolean, retryAfterMs: Millis): Refusal {
  const text = isShared
    ? 'Several upstreams crashed while running requests with a part of this prompt; they are quarantined for now.'
    : 'Several upstreams crashed while running this request; it is quarantined for now.';
  return notRun('suspected_crasher', text, retryAfterMs);
}
