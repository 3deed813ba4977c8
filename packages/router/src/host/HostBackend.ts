import type {
  CallerBackend,
  CompletionEvent,
  CompletionRequest,
  HostRecommendation,
  ServiceResponse,
  ServiceRequest,
} from '@camphorvane/caller';
import type {
  Clock,
  Millis,
  ModelId,
  RandomSource,
  Refusal,
  RequestId,
  ServiceConfig,
} from '@camphorvane/core';
import { notRun, outcomeUnknown } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Metrics } from '../observe/Metrics.ts';
import type { CompletionHandler } from '../serving/CompletionHandler.ts';
import type { ServingEvent } from '../serving/resolvedCompletion.ts';
import { NATIVE_COMPLETION_POLICY } from '../serving/resolvedCompletion.ts';
import type { ServiceCallHandler } from '../serving/ServiceCallHandler.ts';
import type { CallPolicy } from '../serving/resolvedCall.ts';
import { MAX_CALL_ATTEMPTS } from '../serving/ServiceCallHandler.ts';
import { findServiceRoute } from '../serving/findServiceRoute.ts';
import { MAX_NATIVE_CALL_WAIT_MS } from '../serving/ServiceQueues.ts';
import type { AuthenticatedCaller, Authenticator } from './Authenticator.ts';
import type { InFlightRequests } from './InFlightRequests.ts';
import type { ConfigSource, GroupGate } from './ports.ts';
import type { UpstreamDirectory } from './UpstreamDirectory.ts';

/**
 * Milliseconds for which callers may cache the list of hosts. A draining host stops accepting
 * requests after a few seconds; a longer lifetime would send callers to hosts that have left.
 */
const HOST_LIST_TTL_MS: Millis = 10_000;

/**
 * Longest wait of a request for a missing confirmation of keys or membership, in milliseconds. A
 * host that resumes from a process pause has both after one round of calls and need not refuse the
 * first requests.
 */
const CONFIRM_WAIT_MS: Millis = 300;

/**
 * Retry delay given to callers of a draining host, in milliseconds. They should request the list of
 * hosts before they retry.
 */
const DRAINING_RETRY_MS: Millis = 100;

/** Dependencies of a {@link HostBackend}. */
export interface HostBackendOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly incarnation: string;
  readonly authenticator: Authenticator;
  readonly config: ConfigSource;
  readonly group: GroupGate;
  readonly directory: UpstreamDirectory;
  readonly inFlight: InFlightRequests;
  readonly completions: CompletionHandler;
  readonly services: ServiceCallHandler;
  readonly metrics: Metrics;
  readonly isDraining: () => boolean;
}

/** Authenticates requests on the router's native interface and dispatches them to their handlers. */
export class HostBackend implements CallerBackend {
  private readonly options: HostBackendOptions;

  private requestCount = 0;

  /** @param options - Dependencies of the backend. */
  constructor(options: HostBackendOptions) {
    this.options = options;
  }

  /** Creates a request id that is unique across hosts and restarts. */
  newRequestId(): RequestId {
    this.requestCount += 1;
    return `${this.options.incarnation}-${this.requestCount}`;
  }

  /** Gets the hosts that a caller may use, in random order to spread callers over them. */
  recommendHosts(key: string | undefined): Result<HostRecommendation, Refusal> {
    return this.options.authenticator.authenticate(key).map(() => {
      const hosts = this.options.group
        .members()
        .filter((member) => !member.leaving)
        .map((member) => ({ member, rank: this.options.random.next() }))
        .sort((a, b) => a.rank - b.rank)
        .map(({ member }) => ({
          host: member.host,
          zone: member.zone,
          address: member.callerAddress,
        }));
      return { hosts, maxAgeMs: HOST_LIST_TTL_MS };
    });
  }

  /** Gets the models that the caller's team may use. */
  models(key: string | undefined): Result<readonly ModelId[], Refusal> {
    return this.options.authenticator
      .authenticate(key)
      .map(({ team }) =>
        this.options.directory
          .getModels()
          .filter((model) => team.models.length === 0 || team.models.includes(model)),
      );
  }

  /** Serves a completion as a stream of events. */
  async *complete(
    id: RequestId,
    req: CompletionRequest,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const caller = await this.authenticate(req.key);
    const config = this.options.config.current()?.config;
    if (caller.isErr() || config === undefined) {
      const refusal = caller.isErr() ? caller.error : noConfigRefusal();
      this.countRefusal(refusal);
      yield { type: 'refused', refusal };
      return;
    }
    const { abort, leave } = this.options.inFlight.addForCaller(id, caller.value, signal);
    try {
      const events = this.options.completions.serve({
        id,
        model: req.model,
        prompt: req.prompt,
        maxTokens: req.maxTokens,
        class: req.class,
        caller: caller.value,
        config,
        policy: NATIVE_COMPLETION_POLICY,
        signal: abort.signal,
      });
      for await (const event of events) {
        const completionEvent = toCompletionEvent(event);
        this.countEvent(completionEvent);
        yield completionEvent;
      }
    } finally {
      leave();
    }
  }

  /** Serves a call to a plain service. */
  async callService(
    id: RequestId,
    req: ServiceRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, Refusal>> {
    const reply = await this.authenticateAndCall(id, req, signal);
    if (reply.isErr()) this.countRefusal(reply.error);
    else this.options.metrics.count('request.whole', { kind: 'service' });
    return reply;
  }

  private async authenticateAndCall(
    id: RequestId,
    req: ServiceRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, Refusal>> {
    const caller = await this.authenticate(req.key);
    if (caller.isErr()) return err(caller.error);
    const service = this.options.directory.getService(req.service);
    const route =
      service === undefined ? undefined : findServiceRoute(service, req.method, req.path);
    if (service === undefined || route === undefined) {
      return err(notRun('unknown_service', 'No service has a route for this method and path.'));
    }
    const { abort, leave } = this.options.inFlight.addForCaller(id, caller.value, signal);
    try {
      const policy = this.callPolicy(service);
      const work = { id, req, policy, caller: caller.value, service, route, signal: abort.signal };
      return await this.options.services.serve(work);
    } finally {
      leave();
    }
  }

  private async authenticate(
    key: string | undefined,
  ): Promise<Result<AuthenticatedCaller, Refusal>> {
    if (this.options.isDraining()) {
      return err(
        notRun(
          'host_draining',
          'This host is draining; request the list of hosts again.',
          DRAINING_RETRY_MS,
        ),
      );
    }
    await Promise.all([
      this.options.config.confirmNow(CONFIRM_WAIT_MS),
      this.options.group.waitToAct(CONFIRM_WAIT_MS),
    ]);
    return this.options.authenticator.authenticate(key).andThen((caller) => {
      this.options.metrics.count('request.accepted');
      return ok(caller);
    });
  }

  private callPolicy({ timeoutMs }: ServiceConfig): CallPolicy {
    return {
      maxAttempts: MAX_CALL_ATTEMPTS,
      claimed: true,
      maxWaitMs: Math.min(MAX_NATIVE_CALL_WAIT_MS, timeoutMs),
      deadlineAt: this.options.clock.now() + MAX_NATIVE_CALL_WAIT_MS + timeoutMs,
    };
  }

  private countEvent(event: CompletionEvent): void {
    switch (event.type) {
      case 'token':
        break;
      case 'done':
        this.options.metrics.count('request.whole', { kind: 'completion' });
        break;
      case 'refused':
        this.countRefusal(event.refusal);
        break;
      default:
        event satisfies never;
    }
  }

  private countRefusal(refusal: Refusal): void {
    this.options.metrics.count('request.refused', { code: refusal.code });
  }
}

/** Converts an event of a completion. Events of forwarded requests are an internal error here. */
function toCompletionEvent(event: ServingEvent): CompletionEvent {
  switch (event.type) {
    case 'token':
    case 'done':
    case 'refused':
      return event;
    case 'head':
    case 'piece':
    case 'answer':
      return {
        type: 'refused',
        refusal: outcomeUnknown(
          'internal',
          'The engine answered the completion with an unexpected kind of event.',
        ),
      };
    default:
      return event satisfies never;
  }
}

function noConfigRefusal(): Refusal {
  return notRun('key_state_unconfirmed', 'This host has not loaded a configuration yet.', 1_000);
}
