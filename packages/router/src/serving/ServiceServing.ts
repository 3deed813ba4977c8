import type { ServiceReply, ServiceRequest } from '@camphorvane/caller';
import type {
  Clock,
  HostId,
  Incarnation,
  Millis,
  Refusal,
  RequestId,
  ServiceConfig,
  ServiceRoute,
  UpstreamId,
} from '@camphorvane/core';
import { notRun, outcomeUnknown, sha256Hex } from '@camphorvane/core';
import type { GateCall } from '@camphorvane/decisions';
import type { Claim, ClaimRequest, IdempotencyClaims } from '@camphorvane/store';
import { claimRefusal } from '@camphorvane/store';
import type { ServiceAnswer, UpstreamError } from '@camphorvane/upstream';
import { ResultAsync, err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AuthenticatedCaller } from '../host/Authenticator.ts';
import type { RateGate } from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { ServiceGates } from './ServiceGates.ts';
import { MAX_SERVICE_WAIT_MS } from './ServiceGates.ts';

/** Servers that an idempotent call may be tried on. */
const MAX_TRIES = 3;

/** A service call whose caller and route are known. */
export interface KnownCall {
  readonly id: RequestId;
  readonly req: ServiceRequest;
  readonly caller: AuthenticatedCaller;
  readonly service: ServiceConfig;
  readonly route: ServiceRoute;
  readonly signal: AbortSignal;
}

/** What service serving is made of. */
export interface ServiceServingOptions {
  readonly clock: Clock;
  readonly directory: UpstreamDirectory;
  readonly gates: ServiceGates;
  readonly rates: RateGate;
  readonly claims: IdempotencyClaims;
  readonly self: { readonly host: HostId; readonly incarnation: Incarnation };
  readonly metrics: Metrics;
}

/** A call that failed on one server. */
interface FailedTry {
  readonly server: UpstreamId;
  readonly error: UpstreamError;
}

type TryOutcome =
  | { readonly type: 'answer'; readonly answer: ServiceAnswer }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  | ({ readonly type: 'failed' } & FailedTry);

/** Serves calls to plain services; those that may not repeat run at most once. */
export class ServiceServing {
  private readonly options: ServiceServingOptions;

  /** @param options - What it is made of. */
  constructor(options: ServiceServingOptions) {
    this.options = options;
  }

  /**
   * Serves one call.
   *
   * @param work - The call.
   * @returns The whole answer, or a refusal.
   */
  async serve(work: KnownCall): Promise<Result<ServiceReply, Refusal>> {
    const charge = await this.options.rates.charge(work.caller.team.id, work.route.costTokens);
    if (charge.isErr()) return err(charge.error);
    const reply = work.route.idempotent ? await this.repeatable(work) : await this.once(work);
    const ran = reply.isOk() || reply.error.execution === 'unknown';
    if (!ran) this.options.rates.refund(charge.value, charge.value.tokens);
    return reply;
  }

  private async repeatable(work: KnownCall): Promise<Result<ServiceReply, Refusal>> {
    const failures: FailedTry[] = [];
    while (failures.length < MAX_TRIES) {
      const outcome = await this.tryOnce(work, failures);
      if (outcome.type === 'answer') return ok({ ...outcome.answer, replayed: false });
      if (outcome.type === 'refused') return err(truthful(outcome.refusal, failures));
      if (work.signal.aborted) break;
      failures.push(outcome);
    }
    const failed = notRun('upstream_failed', 'The servers of this service failed.', 1_000);
    return err(truthful(failed, failures));
  }

  /**
   * Runs a call that must not repeat: claimed before dispatch, dispatched once.
   *
   * After dispatch there is an answer or there is "outcome unknown". The claim stays then, so that
   * a caller who sends the call again, here or at another host, does not run it a second time.
   */
  private async once(work: KnownCall): Promise<Result<ServiceReply, Refusal>> {
    const req = this.claimRequest(work);
    if (req.isErr()) return err(req.error);
    const outcome = await this.options.claims.claim(req.value);
    if (outcome.type === 'claimed') return this.runClaimed(work, outcome.claim);
    if (outcome.type === 'finished' && outcome.answer !== undefined) {
      this.options.metrics.count('service.replayed');
      return ok({ ...outcome.answer, replayed: true });
    }
    return err(claimRefusal(outcome) ?? notRun('internal', 'The claim has no outcome.'));
  }

  private async runClaimed(work: KnownCall, claim: Claim): Promise<Result<ServiceReply, Refusal>> {
    const { claims } = this.options;
    const outcome = await this.tryUndispatched(work);
    switch (outcome.type) {
      case 'answer':
        // The caller need not wait until the answer is stored; the claim alone bars a second run.
        void claims.finish(claim, outcome.answer);
        return ok({ ...outcome.answer, replayed: false });
      case 'refused':
        await claims.abandon(claim);
        return err(outcome.refusal);
      case 'failed':
        if (!outcome.error.dispatched) {
          await claims.abandon(claim);
          return err(notRun('upstream_failed', 'No server took the call.', 1_000));
        }
        void claims.leaveUnknown(claim);
        return err(
          outcomeUnknown('outcome_unknown', 'The call was sent, and no whole answer came back.'),
        );
      default:
        return outcome satisfies never;
    }
  }

  private claimRequest(work: KnownCall): Result<ClaimRequest, Refusal> {
    const { idempotencyKey, method, path, body } = work.req;
    if (idempotencyKey === undefined) {
      const text = 'This call runs at most once; send an Idempotency-Key.';
      return err(notRun('idempotency_key_required', text));
    }
    const [pathname = ''] = path.split('?');
    return ok({
      team: work.caller.team.id,
      service: work.service.id,
      route: `${method} ${pathname}`,
      key: idempotencyKey,
      requestDigest: sha256Hex(`${method} ${path}\n${Buffer.from(body).toString('base64')}`),
      attempt: work.id,
      ...this.options.self,
    });
  }

  /** Moves on to another server only while none can have been given the call. */
  private async tryUndispatched(work: KnownCall): Promise<TryOutcome> {
    const failures: FailedTry[] = [];
    let outcome = await this.tryOnce(work, failures);
    while (
      outcome.type === 'failed' &&
      !outcome.error.dispatched &&
      failures.length + 1 < MAX_TRIES &&
      !work.signal.aborted
    ) {
      failures.push(outcome);
      outcome = await this.tryOnce(work, failures);
    }
    return outcome;
  }

  private async tryOnce(work: KnownCall, failures: readonly FailedTry[]): Promise<TryOutcome> {
    const call: GateCall = {
      request: `${work.id}.${failures.length}`,
      team: work.caller.team.id,
      class: work.route.class,
      maxWaitMs: Math.min(MAX_SERVICE_WAIT_MS, work.service.timeoutMs),
      avoid: failures.map((failure) => failure.server),
    };
    const chosen = await this.options.gates.choose(work.service.id, call, work.signal);
    if (chosen.isErr()) return { type: 'refused', refusal: chosen.error };
    const result = await this.dispatch(work, call, chosen.value);
    this.options.gates.ended(work.service.id, call, chosen.value, result.isErr());
    return result.match(
      (answer): TryOutcome => ({ type: 'answer', answer }),
      (error): TryOutcome => ({ type: 'failed', server: chosen.value, error }),
    );
  }

  private dispatch(
    work: KnownCall,
    call: GateCall,
    server: UpstreamId,
  ): ResultAsync<ServiceAnswer, UpstreamError> {
    const client = this.options.directory.getServer(server)?.server;
    if (client === undefined) {
      const gone: UpstreamError = { type: 'unreachable', dispatched: false, message: 'removed' };
      return new ResultAsync(Promise.resolve(err(gone)));
    }
    this.options.metrics.count('service.dispatched');
    // A dispatched call that must not repeat runs on after its caller has gone: its answer is
    // recorded, and the caller gets it when it asks again.
    const signal = work.route.idempotent ? work.signal : new AbortController().signal;
    return client.call(
      {
        attempt: call.request,
        method: work.req.method,
        path: work.req.path,
        headers: work.req.headers,
        body: work.req.body,
        class: work.route.class,
        timeoutMs: work.service.timeoutMs,
      },
      signal,
    );
  }
}

/** A refusal must not say "not run" once a server may have run the call. */
function truthful(refusal: Refusal, failures: readonly FailedTry[]): Refusal {
  const ran = failures.some((failure) => failure.error.dispatched);
  return ran ? { ...refusal, execution: 'unknown' } : refusal;
}

/**
 * Finds the route of a call: the longest path prefix with the same method.
 *
 * @param service - The service.
 * @param method - The call's method.
 * @param path - The call's path, with its query.
 * @returns The route, if there is one.
 */
export function findRoute(
  service: ServiceConfig,
  method: string,
  path: string,
): ServiceRoute | undefined {
  const [pathname = ''] = path.split('?');
  const matches = service.routes.filter(
    (route) => route.method === method && isBelow(pathname, route.path),
  );
  return [...matches].sort((a, b) => b.path.length - a.path.length)[0];
}

function isBelow(pathname: string, prefix: string): boolean {
  const bare = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return pathname === bare || pathname.startsWith(`${bare}/`);
}

/** Longest time that a call may take, wait included, in milliseconds. */
export function callBound(service: ServiceConfig): Millis {
  return service.timeoutMs + MAX_SERVICE_WAIT_MS;
}
