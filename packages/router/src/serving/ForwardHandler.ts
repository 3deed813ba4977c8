import type { ForwardBackend, ForwardEvent, ForwardRequest } from '@camphorvane/caller';
import type {
  Clock,
  ForwardRoute,
  Millis,
  RandomSource,
  Refusal,
  RequestId,
  RoutingConfig,
  TeamConfig,
  WorkClass,
} from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { RequestAgeEstimator } from '@camphorvane/decisions';
import type { CallerTimes, RetryContext } from '@camphorvane/decisions';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AuthenticatedCaller, Authenticator } from '../host/Authenticator.ts';
import type { InFlightRequests } from '../host/InFlightRequests.ts';
import type { ConfigSource } from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { CompletionHandler } from './CompletionHandler.ts';
import { chooseTarget, findForwardRoute } from './findForwardRoute.ts';
import { toForwardEvents } from './forwardEvents.ts';
import type { ServiceCallHandler } from './ServiceCallHandler.ts';
import { deliverResponse } from './deliverResponse.ts';
import { StreamTimer } from './StreamTimer.ts';
import type { TurnRegistry } from './TurnRegistry.ts';

/** Milliseconds that a caller is assumed to wait where it does not declare a timeout. */
const DEFAULT_CALLER_TIMEOUT_MS: Millis = 30_000;

/** Retry-after in milliseconds where the host has no configuration, or the route no servers. */
const UNAVAILABLE_RETRY_MS: Millis = 500;

/** Retry-after in milliseconds of a draining host; short, as the retry goes to another host. */
const DRAINING_RETRY_MS: Millis = 50;

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

/** The caller of a route that needs no API key. */
const ANONYMOUS_CALLER: AuthenticatedCaller = {
  team: {
    id: '',
    rate: { tokensPerSecond: 0, burstTokens: 0 },
    keyDigests: [],
    models: [],
    weight: 1,
  },
  keyDigest: undefined,
};

const log = eventLog('request');

/** Options of a `ForwardHandler`. */
export interface ForwardHandlerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly authenticator: Authenticator;
  readonly config: ConfigSource;
  readonly directory: UpstreamDirectory;
  readonly inFlight: InFlightRequests;
  readonly completions: CompletionHandler;
  readonly services: ServiceCallHandler;
  readonly metrics: Metrics;
  readonly turns: TurnRegistry;
  /** Tells whether the host refuses new requests. */
  readonly isClosed: () => boolean;
}

/** A forwarded call whose caller is authenticated and whose route and service are chosen. */
interface RoutedCall {
  readonly id: RequestId;
  readonly req: ForwardRequest;
  readonly route: ForwardRoute;
  readonly service: string;
  readonly caller: AuthenticatedCaller;
  readonly config: RoutingConfig;
  /** Deadline of the call, set by its caller or by the route's timeout. */
  readonly deadlineAt: Millis;
  /** Estimated milliseconds since the caller's first attempt at this request. */
  readonly ageMs: Millis;
}

/** Forwards calls byte for byte to upstreams, by the same handlers as the native API. */
export class ForwardHandler implements ForwardBackend {
  private readonly options: ForwardHandlerOptions;

  private readonly callerAges = new RequestAgeEstimator();

  /** @param options - Components of the host. */
  constructor(options: ForwardHandlerOptions) {
    this.options = options;
  }

  /** Serves one call (see `ForwardBackend.forward`); aborting the signal ends it. */
  async *forward(
    id: RequestId,
    req: ForwardRequest,
    signal: AbortSignal,
  ): AsyncGenerator<ForwardEvent> {
    const startedAt = this.options.clock.now();
    const routed = this.resolveRoute(id, req);
    if (routed.isErr()) {
      this.recordRefusal(id, routed.error, startedAt);
      yield { type: 'refused', refusal: routed.error };
      return;
    }
    const call = routed.value;
    const kind = call.route.kind === 'stream' ? 'pool' : 'service';
    this.options.turns.recordArrival({ kind, name: call.service }, priorityOf(call), call.ageMs);
    const { abort, leave } = this.options.inFlight.addForCaller(id, call.caller, signal);
    const cancelTimer = this.options.clock.after(call.deadlineAt - this.options.clock.now(), () =>
      abort.abort(deadlinePassed()),
    );
    try {
      const isStream = call.route.kind === 'stream';
      const events = isStream ? this.stream(call, abort.signal) : this.call(call, abort.signal);
      const timer = new StreamTimer(startedAt);
      for await (const event of events) {
        if (event.type === 'data') timer.recordEvent(this.options.clock.now());
        if (event.type === 'refused') this.recordRefusal(id, event.refusal, startedAt);
        if (event.type === 'done') this.recordDone(call, timer, startedAt);
        yield event;
      }
    } finally {
      cancelTimer();
      leave();
    }
  }

  private resolveRoute(id: RequestId, req: ForwardRequest): Result<RoutedCall, Refusal> {
    const config = this.options.config.current()?.config;
    if (config === undefined) {
      const text = 'This host has no configuration yet.';
      return err(notRun('key_state_unconfirmed', text, UNAVAILABLE_RETRY_MS));
    }
    if (this.options.config.isOutdated?.() === true) {
      const text = 'This host could not get the configuration that is in force.';
      return err(notRun('key_state_unconfirmed', text, UNAVAILABLE_RETRY_MS));
    }
    if (this.options.isClosed()) {
      return err(notRun('host_draining', 'This host is leaving.', DRAINING_RETRY_MS));
    }
    const route = findForwardRoute(config.routes ?? [], req.host, req.path);
    if (route === undefined) {
      return err(notRun('unknown_service', 'No route matches this host name and path.'));
    }
    const target = chooseTarget(route.targets, this.options.random.next());
    if (target === undefined) {
      return err(notRun('no_capacity', 'The route has no usable target.', UNAVAILABLE_RETRY_MS));
    }
    const timeoutMs = Math.min(route.timeoutMs, req.callerTimeoutMs ?? DEFAULT_CALLER_TIMEOUT_MS);
    const now = this.options.clock.now();
    const deadlineAt = now + timeoutMs;
    return this.callerOf(route, req).map((caller) => {
      this.options.metrics.count('request.accepted');
      const { name, kind, targetMs, longestPauseMs } = route;
      const { service } = target;
      const slos = { kind, targetMs, longestPauseMs };
      const version = this.version();
      const ageMs = Math.round(this.callerAges.estimate(name, timeoutMs, now));
      log('accepted', { id, route: name, service, team: caller.team.id, ...slos, ageMs, version });
      return { id, req, route, service: target.service, caller, config, deadlineAt, ageMs };
    });
  }

  private callerOf(route: ForwardRoute, req: ForwardRequest): Result<AuthenticatedCaller, Refusal> {
    return route.open ? ok(ANONYMOUS_CALLER) : this.options.authenticator.authenticate(req.key);
  }

  private async *stream(call: RoutedCall, signal: AbortSignal): AsyncGenerator<ForwardEvent> {
    const { id, req, route, caller, config } = call;
    const { work } = req;
    const events = this.options.completions.serve({
      id,
      model: call.service,
      prompt: {
        tokens: work?.promptTokens ?? plainTokens(caller.team),
        parts: work?.parts ?? [],
        call: {
          method: req.method,
          path: req.path,
          headers: req.headers,
          body: req.body,
          deadlineAt: call.deadlineAt,
          team: teamOf(caller),
        },
      },
      maxTokens: work?.maxTokens ?? 0,
      class: 'lookup',
      caller,
      config,
      policy: {
        maxExecutions: route.maxAttempts,
        resumable: route.resumable,
        fromPosition: work?.lastPosition === undefined ? 0 : work.lastPosition + 1,
        expectedTokens: work?.expectedOutputTokens,
        maxWaitMs: Math.min(route.targetMs * STREAM_MAX_WAIT_TARGETS, this.remainingMs(call)),
        onTimeMs: Math.max(0, route.targetMs * STREAM_ON_TIME_FRACTION - call.ageMs),
        longestPauseMs: route.longestPauseMs,
        priority: priorityOf(call),
        callerTimes: callerTimesOf(call),
        retry: this.retryContextOf(call),
      },
      signal,
    });
    let hasHead = false;
    for await (const event of events) {
      // A stream that resumes at another engine keeps the head of the first engine's answer.
      if (event.type !== 'head' || !hasHead) yield* toForwardEvents(event);
      if (event.type === 'head') hasHead = true;
    }
  }

  private async *call(call: RoutedCall, signal: AbortSignal): AsyncGenerator<ForwardEvent> {
    const { id, req, route, caller } = call;
    const service = this.options.directory.getService(call.service);
    if (service === undefined) {
      const refusal = notRun('no_capacity', 'The service has no servers.', UNAVAILABLE_RETRY_MS);
      yield { type: 'refused', refusal };
      return;
    }
    const reply = await this.options.services.serve({
      id,
      req: { ...req, idempotencyKey: undefined },
      policy: {
        maxAttempts: route.maxAttempts,
        claimed: false,
        maxWaitMs: Math.min(route.targetMs * CALL_MAX_WAIT_TARGETS, this.remainingMs(call)),
        lateAt: this.options.clock.now() + route.targetMs * CALL_ON_TIME_FRACTION - call.ageMs,
        deadlineAt: call.deadlineAt,
        priority: priorityOf(call),
        callerTimes: callerTimesOf(call),
        retry: this.retryContextOf(call),
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
    });
    if (reply.isErr()) {
      yield { type: 'refused', refusal: reply.error };
      return;
    }
    yield* deliverResponse(reply.value);
  }

  private remainingMs({ deadlineAt }: RoutedCall): Millis {
    return Math.max(0, deadlineAt - this.options.clock.now());
  }

  private retryContextOf(call: RoutedCall): RetryContext {
    const { ageMs, route } = call;
    const leftMs = this.remainingMs(call);
    return { priority: priorityOf(call), ageMs, leftMs, targetMs: route.targetMs };
  }

  private recordDone(
    { id, route, service }: RoutedCall,
    timer: StreamTimer,
    startedAt: Millis,
  ): void {
    const { kind } = route;
    const tookMs = Math.round(this.options.clock.now() - startedAt);
    const times = timer.getTimings();
    const firstMs = Math.round(times.firstMs ?? tookMs);
    const pauseMs = Math.round(times.longestPauseMs);
    this.options.metrics.count('request.whole', { kind });
    this.options.metrics.timing('request.whole', tookMs, { kind });
    if (kind === 'stream') this.options.metrics.timing('request.pause', pauseMs, { kind });
    log('whole', {
      id,
      route: route.name,
      service,
      tookMs,
      firstMs,
      pauseMs,
      events: times.events,
    });
  }

  private recordRefusal(id: RequestId, refusal: Refusal, startedAt: Millis): void {
    const { code, execution, retryAfterMs } = refusal;
    this.options.metrics.count('request.refused', { code });
    const tookMs = Math.round(this.options.clock.now() - startedAt);
    log('refused', { id, code, execution, retryAfterMs, tookMs, version: this.version() });
  }

  private version(): number {
    return this.options.config.current()?.version ?? 0;
  }
}

function callerTimesOf({ ageMs, deadlineAt, route }: RoutedCall): CallerTimes {
  return { ageMs, deadlineAt, targetMs: route.targetMs };
}

function priorityOf({ caller, route }: RoutedCall): number {
  return caller.team.priority ?? route.priority;
}

function teamOf(caller: AuthenticatedCaller): string | undefined {
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

function deadlinePassed(): Refusal {
  return notRun('timed_out', 'The deadline of this request has passed.');
}
