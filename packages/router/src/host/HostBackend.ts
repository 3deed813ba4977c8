import type {
  CallerBackend,
  CompletionEvent,
  CompletionRequest,
  HostAdvice,
  ServiceReply,
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
import type { InFlight } from './InFlight.ts';
import type { ConfigSource, GroupGate } from './ports.ts';
import type { UpstreamDirectory } from './UpstreamDirectory.ts';

/**
 * Milliseconds for which callers may keep the advice. A host that drains refuses after a few
 * seconds, and tells callers to ask again; a longer time would only send them to hosts that left.
 */
const ADVICE_LIFE_MS: Millis = 10_000;

/**
 * Milliseconds that a request waits for the confirmation of the keys or of the membership, where
 * one is missing: a host that wakes from a pause has both after one round of calls, and need not
 * refuse those who came first.
 */
const CONFIRM_WAIT_MS: Millis = 300;

/** Milliseconds after which a caller of a draining host may try; it should ask for hosts first. */
const DRAINING_RETRY_MS: Millis = 100;

/** What the backend is made of. */
export interface HostBackendOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly incarnation: string;
  readonly authenticator: Authenticator;
  readonly config: ConfigSource;
  readonly group: GroupGate;
  readonly directory: UpstreamDirectory;
  readonly inFlight: InFlight;
  readonly completions: CompletionHandler;
  readonly services: ServiceCallHandler;
  readonly metrics: Metrics;
  readonly isDraining: () => boolean;
}

/** Takes in what callers ask, and has it served for the team of their key. */
export class HostBackend implements CallerBackend {
  private readonly options: HostBackendOptions;

  private requests = 0;

  /** @param options - What the backend is made of. */
  constructor(options: HostBackendOptions) {
    this.options = options;
  }

  /** Gets a new id for a request, which no other host or start gives. */
  newRequestId(): RequestId {
    this.requests += 1;
    return `${this.options.incarnation}-${this.requests}`;
  }

  /** Gets the hosts for a caller, in random order so that callers spread over them. */
  advise(key: string | undefined): Result<HostAdvice, Refusal> {
    return this.options.authenticator.authenticate(key).map(() => {
      const hosts = this.options.group
        .members()
        .filter((mate) => !mate.leaving)
        .map((mate) => ({ mate, rank: this.options.random.next() }))
        .sort((a, b) => a.rank - b.rank)
        .map(({ mate }) => ({ host: mate.host, zone: mate.zone, address: mate.callerAddress }));
      return { hosts, keepForMs: ADVICE_LIFE_MS };
    });
  }

  /** Gets the models that a caller's team may ask for. */
  models(key: string | undefined): Result<readonly ModelId[], Refusal> {
    return this.options.authenticator
      .authenticate(key)
      .map(({ team }) =>
        this.options.directory
          .getModels()
          .filter((model) => team.models.length === 0 || team.models.includes(model)),
      );
  }

  /** Serves a completion. */
  async *complete(
    id: RequestId,
    req: CompletionRequest,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const caller = await this.accept(req.key);
    const config = this.options.config.current()?.config;
    if (caller.isErr() || config === undefined) {
      const refusal = caller.isErr() ? caller.error : noConfig();
      this.noteRefusal(refusal);
      yield { type: 'refused', refusal };
      return;
    }
    const { abort, leave } = this.options.inFlight.join(id, caller.value, signal);
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
        const shown = textEvent(event);
        this.noteEvent(shown);
        yield shown;
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
  ): Promise<Result<ServiceReply, Refusal>> {
    const reply = await this.callAccepted(id, req, signal);
    if (reply.isErr()) this.noteRefusal(reply.error);
    else this.options.metrics.count('request.whole', { kind: 'service' });
    return reply;
  }

  private async callAccepted(
    id: RequestId,
    req: ServiceRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceReply, Refusal>> {
    const caller = await this.accept(req.key);
    if (caller.isErr()) return err(caller.error);
    const service = this.options.directory.getService(req.service);
    const route =
      service === undefined ? undefined : findServiceRoute(service, req.method, req.path);
    if (service === undefined || route === undefined) {
      return err(notRun('unknown_service', 'No route of a service has this method and path.'));
    }
    const { abort, leave } = this.options.inFlight.join(id, caller.value, signal);
    try {
      const terms = this.callTerms(service);
      const work = {
        id,
        req,
        policy: terms,
        caller: caller.value,
        service,
        route,
        signal: abort.signal,
      };
      return await this.options.services.serve(work);
    } finally {
      leave();
    }
  }

  private async accept(key: string | undefined): Promise<Result<AuthenticatedCaller, Refusal>> {
    if (this.options.isDraining()) {
      return err(
        notRun('host_draining', 'This host is leaving; ask for hosts again.', DRAINING_RETRY_MS),
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

  private callTerms({ timeoutMs }: ServiceConfig): CallPolicy {
    return {
      maxAttempts: MAX_CALL_ATTEMPTS,
      claimed: true,
      maxWaitMs: Math.min(MAX_NATIVE_CALL_WAIT_MS, timeoutMs),
      deadlineAt: this.options.clock.now() + MAX_NATIVE_CALL_WAIT_MS + timeoutMs,
    };
  }

  private noteEvent(event: CompletionEvent): void {
    switch (event.type) {
      case 'token':
        break;
      case 'done':
        this.options.metrics.count('request.whole', { kind: 'completion' });
        break;
      case 'refused':
        this.noteRefusal(event.refusal);
        break;
      default:
        event satisfies never;
    }
  }

  private noteRefusal(refusal: Refusal): void {
    this.options.metrics.count('request.refused', { code: refusal.code });
  }
}

/** Engines that run text give text alone; anything else would be a fault of this program. */
function textEvent(event: ServingEvent): CompletionEvent {
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
        refusal: outcomeUnknown('internal', 'An engine answered a text with something else.'),
      };
    default:
      return event satisfies never;
  }
}

function noConfig(): Refusal {
  return notRun('key_state_unconfirmed', 'This host has no configuration yet.', 1_000);
}
