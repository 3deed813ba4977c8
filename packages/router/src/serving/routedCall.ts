import type { ForwardRequest } from '@camphorvane/caller';
import type {
  ForwardRoute,
  Millis,
  RequestId,
  RoutingConfig,
  ServiceConfig,
  TeamConfig,
  TeamId,
  WorkClass,
} from '@camphorvane/core';
import type {
  CallerTimes,
  RequestArrivals,
  RetryContext,
  StreamBinding,
} from '@camphorvane/decisions';
import type { AuthenticatedCaller } from '../host/Authenticator.ts';
import type { ExecutionCount } from './ExecutionCount.ts';
import type { ResolvedCall } from './resolvedCall.ts';
import type { ResolvedCompletion } from './resolvedCompletion.ts';

/** Fraction of the target in which a stream must get its engines; prefill, transfer and network follow. */
const STREAM_ON_TIME_FRACTION = 0.6;

/**
 * Longest wait of a stream for engines, in multiples of its target. Callers give up on a stream that has
 * not started after four targets; one that gets its engines within this wait starts before that.
 */
const STREAM_MAX_WAIT_TARGETS = 2.8;

/** Fraction of the target within which a plain call must get its server; the rest covers its execution. */
const CALL_ON_TIME_FRACTION = 0.7;

/**
 * Longest wait of a plain call for a server, in multiples of its target. After the first target the call is
 * late, and gets a server only when no call that can still be on time waits for one.
 */
const CALL_MAX_WAIT_TARGETS = 2;

/** Gets the longest wait of a route's calls for a server or an engine, in milliseconds. */
export function maxWaitMsOf({ kind, targetMs }: ForwardRoute): Millis {
  return targetMs * (kind === 'stream' ? STREAM_MAX_WAIT_TARGETS : CALL_MAX_WAIT_TARGETS);
}

/** The caller of a route that needs no API key. */
export const ANONYMOUS_CALLER: AuthenticatedCaller = {
  team: {
    id: '',
    rate: { tokensPerSecond: 0, burstTokens: 0 },
    keyDigests: [],
    models: [],
    weight: 1,
  },
  keyDigest: undefined,
};

/** A forwarded call whose caller is authenticated and whose route and service are chosen. */
export interface RoutedCall {
  readonly id: RequestId;
  readonly req: ForwardRequest;
  readonly route: ForwardRoute;
  readonly service: string;
  readonly caller: AuthenticatedCaller;
  readonly config: RoutingConfig;
  /** Deadline of the call, set by its caller or by the route's timeout. */
  readonly deadlineAt: Millis;
  /** Estimated milliseconds since the caller's first attempt at this request; 0 for an apparent first attempt. */
  readonly ageMs: Millis;
  /** Milliseconds that this attempt has waited at this host before it was accepted. */
  readonly waitedMs: Millis;
  readonly executions: ExecutionCount;
  /** Arrivals at upstreams, over all hosts that it passes. */
  readonly arrivals: RequestArrivals;
  /** Whether the call is charged to its team already. */
  readonly isCharged: boolean;
  /** Which engines may run it, where it is a stream. */
  readonly binding: StreamBinding;
}

/** Tells whether a call takes a stream up after an event that its caller has got. */
export function isTakeUp({ req, route }: Pick<RoutedCall, 'req' | 'route'>): boolean {
  return route.kind === 'stream' && req.lastPosition !== undefined;
}

/** Tells whether a call is a stream that may go on after an event, here or when its caller takes it up. */
export function isResumableStream({ route }: Pick<RoutedCall, 'route'>): boolean {
  return route.kind === 'stream' && route.resumable;
}

/**
 * Gets a stream as its handler serves it.
 *
 * @param call - The call of a stream.
 * @param now - Present time.
 * @param signal - Ends the request when aborted.
 */
export function completionOf(
  call: RoutedCall,
  now: Millis,
  signal: AbortSignal,
): ResolvedCompletion {
  const { id, req, route, caller, config, executions, arrivals, isCharged } = call;
  const { work } = req;
  const { method, path, headers, body } = req;
  const { deadlineAt } = call;
  return {
    id,
    model: call.service,
    prompt: {
      tokens: work?.promptTokens ?? plainTokens(caller.team),
      parts: work?.parts ?? [],
      call: { method, path, headers, body, deadlineAt, team: teamOf(caller) },
    },
    maxTokens: work?.maxTokens ?? 0,
    class: 'lookup',
    caller,
    config,
    policy: {
      maxExecutions: route.maxAttempts - executions.get(),
      resumable: route.resumable,
      fromPosition: req.lastPosition === undefined ? 0 : req.lastPosition + 1,
      expectedTokens: work?.expectedOutputTokens,
      maxWaitMs: Math.min(maxWaitMsOf(route), remainingMs(call, now)),
      onTimeMs: Math.max(0, route.targetMs * STREAM_ON_TIME_FRACTION - call.ageMs - call.waitedMs),
      longestPauseMs: route.longestPauseMs,
      priority: priorityOf(call),
      callerTimes: callerTimesOf(call),
      retry: retryContextOf(call, now),
      isCharged,
      executions,
      arrivals,
      hasRunElsewhere: executions.get() > 0,
      binding: call.binding,
    },
    signal,
  };
}

/**
 * Gets a plain call as its handler serves it.
 *
 * @param call - The call.
 * @param service - The service that it goes to.
 * @param now - Present time.
 * @param signal - Ends the request when aborted.
 */
export function serviceCallOf(
  call: RoutedCall,
  service: ServiceConfig,
  now: Millis,
  signal: AbortSignal,
): ResolvedCall {
  const { id, req, route, caller, executions, arrivals, isCharged } = call;
  return {
    id,
    req: { ...req, idempotencyKey: undefined },
    parts: req.work?.parts,
    policy: {
      maxAttempts: route.maxAttempts - executions.get(),
      claimed: false,
      maxWaitMs: Math.min(maxWaitMsOf(route), remainingMs(call, now)),
      lateAt: now + route.targetMs * CALL_ON_TIME_FRACTION - call.ageMs - call.waitedMs,
      deadlineAt: call.deadlineAt,
      priority: priorityOf(call),
      callerTimes: callerTimesOf(call),
      retry: retryContextOf(call, now),
      isCharged,
      executions,
      arrivals,
    },
    caller,
    service,
    route: {
      method: 'POST',
      path: route.pathPrefix,
      idempotent: route.kind === 'idempotent',
      class: classOf(route),
      costTokens: costOf(req, caller.team),
    },
    signal,
  };
}

/** Gets the priority of a call; lower goes first. */
export function priorityOf({ caller, route }: RoutedCall): number {
  return caller.team.priority ?? route.priority;
}

function remainingMs({ deadlineAt }: RoutedCall, now: Millis): Millis {
  return Math.max(0, deadlineAt - now);
}

function retryContextOf(call: RoutedCall, now: Millis): RetryContext {
  const { ageMs, route } = call;
  const leftMs = remainingMs(call, now);
  return { priority: priorityOf(call), ageMs, leftMs, targetMs: route.targetMs };
}

function callerTimesOf({ ageMs, deadlineAt, route }: RoutedCall): CallerTimes {
  return { ageMs, deadlineAt, targetMs: route.targetMs };
}

function teamOf(caller: AuthenticatedCaller): TeamId | undefined {
  return caller === ANONYMOUS_CALLER ? undefined : caller.team.id;
}

function plainTokens(team: TeamConfig): number {
  return team.plainCallTokens ?? 0;
}

function costOf({ work }: ForwardRequest, team: TeamConfig): number {
  return work === undefined ? plainTokens(team) : work.promptTokens + work.maxTokens;
}

function classOf(route: ForwardRoute): WorkClass {
  return route.kind === 'idempotent' ? 'lookup' : 'certificate';
}
