import type {
  ForwardBackend,
  ForwardEvent,
  ForwardRequest,
  ForwardTarget,
  ForwardTimes,
} from '@camphorvane/caller';
import type { Clock, Millis, RandomSource, Refusal, RequestId } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import type { RelayContext, RelayedRequest } from '@camphorvane/peer/relay';
import type { Authenticator } from '../host/Authenticator.ts';
import type { InFlightRequests } from '../host/InFlightRequests.ts';
import type { ConfigSource, RetryGate } from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { RequestRelay, ServingState } from '../reach/RequestRelay.ts';
import { abortRefusal } from './abortRefusal.ts';
import { AnswerRecord } from './AnswerRecord.ts';
import type { CompletionHandler } from './CompletionHandler.ts';
import { servicesOf } from './findForwardRoute.ts';
import { toForwardEvents } from './forwardEvents.ts';
import type { ServiceCallHandler } from './ServiceCallHandler.ts';
import { deliverResponse } from './deliverResponse.ts';
import { RequestLog } from './RequestLog.ts';
import { RequestRetries } from './RequestRetries.ts';
import { RouteResolver, versionUnknown } from './RouteResolver.ts';
import {
  completionOf,
  isResumableStream,
  isTakeUp,
  priorityOf,
  serviceCallOf,
} from './routedCall.ts';
import type { RoutedCall } from './routedCall.ts';
import { StreamTimer } from './StreamTimer.ts';
import type { StreamVersions } from './StreamVersions.ts';
import type { TurnRegistry } from './TurnRegistry.ts';

/** Retry-after in milliseconds where the host has no configuration, or the route no servers. */
const UNAVAILABLE_RETRY_MS: Millis = 500;

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
  readonly retryGate: RetryGate;
  /** Knows which software version began each stream. */
  readonly versions: StreamVersions;
  /** Serves calls by way of a peer while links are lost; absent where hosts serve over their own links only. */
  readonly relay: RequestRelay | undefined;
  /** Tells whether the host refuses new requests. */
  readonly isClosed: () => boolean;
}

/** Forwards calls byte for byte to upstreams, by the same handlers as the native API. */
export class ForwardHandler implements ForwardBackend {
  private readonly options: ForwardHandlerOptions;

  private readonly requests: RequestLog;

  private readonly routes: RouteResolver;

  /** @param options - Components of the host. */
  constructor(options: ForwardHandlerOptions) {
    this.options = options;
    this.requests = new RequestLog(options.clock, options.metrics, () => this.version());
    this.routes = new RouteResolver(options, this.requests);
  }

  /** {@inheritDoc ForwardBackend.timesOf} */
  timesOf(target: ForwardTarget): ForwardTimes | undefined {
    return this.routes.timesOf(target);
  }

  /** Serves one call (see `ForwardBackend.forward`); aborting the signal ends it. */
  forward(
    id: RequestId,
    req: ForwardRequest,
    signal: AbortSignal,
    waitedMs: Millis = 0,
  ): AsyncGenerator<ForwardEvent> {
    return this.serveRouted(id, req, signal, undefined, waitedMs);
  }

  /** Serves a call that a peer has passed on, over this host's own links only. */
  serveRelayed(
    request: RelayedRequest,
    signal: AbortSignal,
    waitedMs: Millis = 0,
  ): AsyncGenerator<ForwardEvent> {
    const { id, call, context } = request;
    this.options.metrics.count('relay.served');
    const req = { ...call, callerTimeoutMs: context.leftMs };
    return this.serveRouted(id, req, signal, context, waitedMs);
  }

  private async *serveRouted(
    id: RequestId,
    req: ForwardRequest,
    signal: AbortSignal,
    relayed: RelayContext | undefined,
    waitedMs: Millis,
  ): AsyncGenerator<ForwardEvent> {
    const startedAt = this.options.clock.now() - waitedMs;
    const routed = this.routes.resolve(id, req, relayed, waitedMs);
    if (routed.isErr()) {
      this.requests.recordRefusal(id, routed.error, startedAt);
      yield { type: 'refused', refusal: routed.error };
      return;
    }
    const call = routed.value;
    const isRelayed = relayed !== undefined;
    const { inFlight } = this.options;
    const { abort, leave } = inFlight.addForCaller(id, call.caller, signal, isRelayed);
    const cancelTimer = this.options.clock.after(call.deadlineAt - this.options.clock.now(), () =>
      abort.abort(deadlinePassed()),
    );
    const answer = new AnswerRecord((fault) => this.requests.recordIllegal(id, fault));
    try {
      const timer = new StreamTimer(startedAt);
      const events = isRelayed
        ? this.serveForPeer(call, abort.signal)
        : this.serveBound(call, abort.signal);
      for await (const event of answer.observe(events)) {
        if (event.type === 'data') timer.recordEvent(this.options.clock.now());
        if (event.type === 'refused') this.requests.recordRefusal(id, event.refusal, startedAt);
        if (event.type === 'done') this.requests.recordDone(call, timer, startedAt);
        yield event;
      }
    } finally {
      cancelTimer();
      leave();
      const abortedBy = abort.signal.aborted ? abortRefusal(abort.signal) : undefined;
      const summary = answer.summarize(abortedBy);
      this.requests.recordAnswerEnd(call, summary, startedAt, relayed?.from);
      if (signal.aborted && summary.end !== 'whole')
        this.requests.recordCallerLeft(call, startedAt);
    }
  }

  /** Serves a call; a stream goes on only at the software version that brought its first event. */
  private async *serveBound(call: RoutedCall, signal: AbortSignal): AsyncGenerator<ForwardEvent> {
    if (!isResumableStream(call) && !isTakeUp(call)) {
      yield* this.serve(call, signal, false);
      return;
    }
    const { versions } = this.options;
    const { id, req, route } = call;
    const streamId = isTakeUp(call) ? (req.resumes ?? id) : id;
    let { binding, service } = call;
    if (isTakeUp(call)) {
      const decision = await versions.takeUp(id, req.resumes, servicesOf(route.targets));
      if (decision.type === 'unknown') {
        yield { type: 'refused', refusal: versionUnknown() };
        return;
      }
      binding = decision.binding;
      service = decision.pool ?? service;
    }
    let isBound = binding.type !== 'free';
    try {
      for await (const event of this.serve({ ...call, service, binding }, signal, false)) {
        const version = event.type === 'data' ? event.softwareVersion : undefined;
        // Told before the event leaves: this host may be lost as soon as its caller has got it.
        if (!isBound && version?.type === 'known')
          versions.begin(streamId, { version: version.name, pool: service });
        isBound ||= version !== undefined;
        yield event;
      }
    } finally {
      versions.end(streamId);
    }
  }

  /**
   * Serves a call that a peer has passed on. A peer that runs an earlier program may pass a stream on that has begun,
   * and leave out at which version.
   */
  private async *serveForPeer(call: RoutedCall, signal: AbortSignal): AsyncGenerator<ForwardEvent> {
    const { service, binding } = call;
    if (isTakeUp(call) && binding.type === 'free' && this.options.versions.haveVersions(service)) {
      yield { type: 'refused', refusal: versionUnknown() };
      return;
    }
    yield* this.serve(call, signal, true);
  }

  /** Serves a call over this host's links, or by way of a peer while they are lost. */
  private serve(
    call: RoutedCall,
    signal: AbortSignal,
    isRelayed: boolean,
  ): AsyncIterable<ForwardEvent> {
    const { relay } = this.options;
    const direct = (state: ServingState): AsyncGenerator<ForwardEvent> => {
      const { req, isCharged, binding } = state;
      const served = { ...call, req, isCharged, binding };
      return call.route.kind === 'stream' ? this.stream(served, signal) : this.call(served, signal);
    };
    if (relay === undefined) return direct(call);
    if (isRelayed) return relay.serveForPeer(call.service, direct(call));
    const { id, req, service, deadlineAt, ageMs, executions, route, caller, binding } = call;
    const { kind, maxAttempts, resumable } = route;
    const retryOf = { team: caller.team.id, service };
    return relay.serve(
      {
        ...{ id, req, service, deadlineAt, ageMs, maxAttempts, executions, binding },
        configVersion: this.version(),
        isRepeatable: kind === 'idempotent' || (kind === 'stream' && resumable),
        isResumable: kind === 'stream' && resumable,
        retries: new RequestRetries(this.options, retryOf, call.arrivals),
      },
      direct,
      signal,
    );
  }

  private async *stream(call: RoutedCall, signal: AbortSignal): AsyncGenerator<ForwardEvent> {
    this.recordArrival(call);
    const { completions, clock } = this.options;
    let hasHead = false;
    for await (const event of completions.serve(completionOf(call, clock.now(), signal))) {
      // A stream that resumes at another engine keeps the head of the first engine's answer.
      if (event.type !== 'head' || !hasHead) yield* toForwardEvents(event);
      if (event.type === 'head') hasHead = true;
    }
  }

  private async *call(call: RoutedCall, signal: AbortSignal): AsyncGenerator<ForwardEvent> {
    this.recordArrival(call);
    const { directory, services, clock } = this.options;
    const service = directory.getService(call.service);
    if (service === undefined) {
      const refusal = notRun('no_capacity', 'The service has no servers.', UNAVAILABLE_RETRY_MS);
      yield { type: 'refused', refusal };
      return;
    }
    const reply = await services.serve(serviceCallOf(call, service, clock.now(), signal));
    if (reply.isErr()) {
      yield { type: 'refused', refusal: reply.error };
      return;
    }
    yield* deliverResponse(reply.value);
  }

  /** Records the arrival of a call at the host that serves it. */
  private recordArrival(call: RoutedCall): void {
    const kind = call.route.kind === 'stream' ? 'pool' : 'service';
    this.options.turns.recordArrival({ kind, name: call.service }, priorityOf(call), call.ageMs);
  }

  private version(): number {
    return this.options.config.current()?.version ?? 0;
  }
}

function deadlinePassed(): Refusal {
  return notRun('timed_out', 'The deadline of this request has passed.');
}
