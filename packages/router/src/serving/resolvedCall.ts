import type { ServiceRequest } from '@camphorvane/caller';
import type { Millis, PromptPart, RequestId, ServiceConfig, ServiceRoute } from '@camphorvane/core';
import type { CallerTimes, RequestArrivals, RetryContext } from '@camphorvane/decisions';
import type { AuthenticatedCaller } from '../host/Authenticator.ts';
import type { ExecutionCount } from './ExecutionCount.ts';
import { CrashGuard } from './CrashGuard.ts';
import type { GuardedRequest } from './CrashGuard.ts';
import { sharedPartsOf } from './requestTraits.ts';
import type { RequestRetries } from './RequestRetries.ts';

/** Limits on the attempts of one service call. */
export interface CallPolicy {
  /** Servers that the call may be sent to, one after another. */
  readonly maxAttempts: number;
  /** Whether a non-idempotent call is claimed in the store by its Idempotency-Key before dispatch. */
  readonly claimed: boolean;
  /** Longest wait for a free server, in milliseconds. */
  readonly maxWaitMs: Millis;
  /** Time from which a call that still waits for a server misses its target; absent without a target. */
  readonly lateAt?: Millis;
  /** Priority from the configuration, lower goes first; absent where only the class counts. */
  readonly priority?: number;
  /** What is known of the caller's wait; absent where nothing is. */
  readonly callerTimes?: CallerTimes;
  /** Deadline of the call, set by its caller or by the configuration. */
  readonly deadlineAt: Millis;
  /** What schedules the retry of a refused call; absent where its caller declares nothing. */
  readonly retry?: RetryContext;
  /** Whether the request is charged to its team already, by the host that passed it on. */
  readonly isCharged?: boolean;
  /** Counts the upstreams that may have run the request; absent where nobody asks for it. */
  readonly executions?: ExecutionCount;
  /** Arrivals of the request at upstreams; absent where no other host may have sent it. */
  readonly arrivals?: RequestArrivals;
}

/** A service call whose caller is authenticated and whose route is resolved. */
export interface ResolvedCall {
  readonly id: RequestId;
  readonly req: Pick<ServiceRequest, 'method' | 'path' | 'headers' | 'body' | 'idempotencyKey'>;
  /** Parts of the prompt, where the call declares them. */
  readonly parts?: readonly PromptPart[];
  readonly policy: CallPolicy;
  readonly caller: AuthenticatedCaller;
  readonly service: ServiceConfig;
  readonly route: ServiceRoute;
  readonly signal: AbortSignal;
}

/** A call whose retries are charged. */
export type TrackedCall = ResolvedCall & { readonly retries: RequestRetries };

/** Gets what identifies a call and its repeats where crashes are counted. */
export function guardedCall(call: ResolvedCall): GuardedRequest {
  const { id, caller, req, service, parts = [] } = call;
  const body = Buffer.from(req.body).toString('base64');
  const digest = CrashGuard.digestOf(caller.team.id, req.method, req.path, body);
  return { id, digest, shared: sharedPartsOf(service.id, parts) };
}
