import type { Refusal, UpstreamId } from '@camphorvane/core';
import type { UpstreamError, UpstreamResponse } from '@camphorvane/upstream';
import { isSuccessStatus } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import type { ResolvedCall } from './resolvedCall.ts';

/** Lowest status of an answer that counts as a failure of the server, which another server may not have. */
export const MIN_FAILURE_STATUS = 500;

/** A failed attempt on one server. */
export interface FailedAttempt {
  readonly server: UpstreamId;
  readonly error: UpstreamError;
}

/** How an attempt on one server ended. */
export type AttemptOutcome =
  | { readonly type: 'answer'; readonly server: UpstreamId; readonly answer: UpstreamResponse }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  | ({ readonly type: 'failed' } & FailedAttempt);

/** Gets the failure of an attempt that a server answered with an error status. */
export function errorStatusFailure(server: UpstreamId): FailedAttempt {
  const message = 'the server answered with an error status';
  return { server, error: { type: 'broken', dispatched: true, answered: true, message } };
}

/** Tells whether an attempt failed, or was answered with the failure of a server. */
export function hasFailed(result: Result<UpstreamResponse, UpstreamError>): boolean {
  return result.isErr() || result.value.status >= MIN_FAILURE_STATUS;
}

/** Tells whether a whole answer shows that the server has run the call to its end. */
export function isSuccess({ status, rest }: UpstreamResponse): boolean {
  return isSuccessStatus(status) && rest === undefined;
}

/** Sets a refusal's `execution` to `unknown` once a server may have run the call. */
export function withExecution(refusal: Refusal, failures: readonly FailedAttempt[]): Refusal {
  const ran = failures.some((failure) => failure.error.dispatched);
  return ran ? { ...refusal, execution: 'unknown' } : refusal;
}

/** Tells whether no server of a call's service takes its body; waiting for another one would not help. */
export function areAllFull({ service }: ResolvedCall, failures: readonly FailedAttempt[]): boolean {
  return service.servers.every(({ id }) =>
    failures.some(
      ({ server, error }) => server === id && error.type === 'withheld' && error.isFull === true,
    ),
  );
}

/** Gets the error of a call to a server that has been removed from the configuration meanwhile. */
export function serverRemoved(): UpstreamError {
  return {
    type: 'unreachable',
    dispatched: false,
    message: 'the server is no longer in the configuration',
  };
}
