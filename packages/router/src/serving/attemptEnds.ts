import type { ReservationEnd } from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import type { AttemptOutcome } from './completionAttemptPlan.ts';

/** Gets how a reservation ends with an attempt. */
export function endOf(outcome: AttemptOutcome | undefined, callerGone: boolean): ReservationEnd {
  if (callerGone || outcome === undefined) return 'caller_gone';
  switch (outcome.type) {
    case 'done':
    case 'answered':
      return 'done';
    case 'failed':
      return outcome.stage === 'decode' ? 'failed_in_decode' : 'failed_before_decode';
    default:
      return outcome satisfies never;
  }
}

/** The error of an engine that the configuration does not have, or not any more. */
export function unconfigured(): UpstreamError {
  return { type: 'unreachable', dispatched: false, message: 'not in the configuration' };
}

/** The error of an engine that has gone without closing the connection. */
export function engineGone(): UpstreamError {
  return { type: 'silent', dispatched: true, message: 'the engine is gone' };
}

/** The error of a stream that ends before it says so. */
export function endedEarly(): UpstreamError {
  return { type: 'broken', dispatched: true, message: 'stream ended early' };
}
