import type { ReservationEnd } from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import type { AttemptOutcome } from './completionAttemptPlan.ts';

/** Return value of an attempt whose consumer stopped reading; it is never used. */
export const UNREAD_OUTCOME: AttemptOutcome = {
  type: 'failed',
  engine: '',
  stage: 'decode',
  error: { type: 'cancelled', dispatched: true, message: 'the consumer stopped reading' },
};

/**
 * Gets how an attempt ended, which the release of its reservation reports.
 *
 * @param outcome - The outcome; undefined where the attempt was stopped before it had one.
 * @param callerGone - Whether the caller closed its connection.
 */
export function reservationEnd(
  outcome: AttemptOutcome | undefined,
  callerGone: boolean,
): ReservationEnd {
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

/** Gets the error for an engine that is not, or no longer, in the configuration. */
export function unconfigured(): UpstreamError {
  return {
    type: 'unreachable',
    dispatched: false,
    message: 'the engine is not in the configuration',
  };
}

/** Gets the error of a request that was not sent on, since it has crashed several upstreams. */
export function quarantined(): UpstreamError {
  return { type: 'withheld', dispatched: false, message: 'the request is quarantined' };
}

/** Gets the error for an engine that disappeared without closing its connection. */
export function engineGone(): UpstreamError {
  return {
    type: 'silent',
    dispatched: true,
    isGone: true,
    message: 'the engine stalled and failed a probe',
  };
}

/** Gets the error for a stream that closed without its final event. */
export function streamTruncated(): UpstreamError {
  return { type: 'broken', dispatched: true, message: 'the stream closed before its final event' };
}

/** Gets the error for an engine that was to go on with a stream, and gave an answer that is no stream. */
export function answeredOtherwise(): UpstreamError {
  const message = 'the engine answered a stream that goes on with something else';
  return { type: 'broken', dispatched: true, answered: true, message };
}

const STREAM_STOPPED: UpstreamError = {
  ...{ type: 'cancelled', dispatched: true },
  message: 'the engine may have stopped the run',
};

/** Gets the error for a stream that its engine was asked to stop, and that has closed without a marked end. */
export function streamStopped(): UpstreamError {
  return STREAM_STOPPED;
}

/** Tells whether an error is a {@link streamStopped}. */
export function isStreamStopped(error: UpstreamError): boolean {
  return error === STREAM_STOPPED;
}

const UNCONFIRMED_END: UpstreamError = {
  ...{ type: 'broken', dispatched: true, answered: true },
  message: 'the resumed stream closed before any event',
};

/** Gets the error for a stream that another engine took up and closed without an event or a marked end. */
export function unconfirmedEnd(): UpstreamError {
  return UNCONFIRMED_END;
}

/** Tells whether an error is an {@link unconfirmedEnd}. */
export function isUnconfirmedEnd(error: UpstreamError): boolean {
  return error === UNCONFIRMED_END;
}

/** Gets the error for a stream whose next engine did not go on where the one before ended. */
export function eventsMissing(): UpstreamError {
  return { type: 'broken', dispatched: true, answered: true, message: 'events are missing' };
}
