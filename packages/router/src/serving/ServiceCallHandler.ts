import type { ServiceResponse } from '@camphorvane/caller';
import type { Clock, HostId, Incarnation, Millis, Refusal, UpstreamId } from '@camphorvane/core';
import { notRun, outcomeUnknown } from '@camphorvane/core';
import type { ServiceQueueCall, UpstreamAdmission } from '@camphorvane/decisions';
import type { Claim, IdempotencyClaims } from '@camphorvane/store';
import { claimRefusal } from '@camphorvane/store';
import type { UpstreamResponse, UpstreamError } from '@camphorvane/upstream';
import { hasFailedToConnect, reachedNoUpstream } from '@camphorvane/upstream';
import { err, errAsync, ok } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import type { RateGate, RetryGate } from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { CrashGuard } from './CrashGuard.ts';
import type { FairQueues } from './FairQueues.ts';
import { abortRefusal } from './abortRefusal.ts';
import { claimRequestOf } from './claimRequestOf.ts';
import { endUnknown, finishClaimed, NO_COMPLETE_ANSWER } from './finishClaimed.ts';
import type { HeldCall } from './queuedWork.ts';
import { queueOf } from './queuedWork.ts';
import type { ResolvedCall, TrackedCall } from './resolvedCall.ts';
import { guardedCall } from './resolvedCall.ts';
import { RequestRetries } from './RequestRetries.ts';
import type { AttemptOutcome, FailedAttempt } from './serviceAttempts.ts';
import {
  areAllFull,
  errorStatusFailure,
  hasFailed,
  isSuccess,
  MIN_FAILURE_STATUS,
  serverRemoved,
  withExecution,
} from './serviceAttempts.ts';
import type { ServiceQueues } from './ServiceQueues.ts';

/** Most servers that a native call is sent to. */
export const MAX_CALL_ATTEMPTS = 3;

/** Retry-after in milliseconds where servers failed; most are back within seconds. */
const RETRY_AFTER_MS: Millis = 1_000;

const log = eventLog('service');

/** Options of a `ServiceCallHandler`. */
export interface ServiceCallHandlerOptions {
  readonly clock: Clock;
  readonly directory: UpstreamDirectory;
  readonly queues: ServiceQueues;
  readonly fairQueues: FairQueues;
  readonly admission: UpstreamAdmission;
  readonly rates: RateGate;
  /** Claims of non-idempotent calls; absent where every request of a caller is a call of its own. */
  readonly claims: IdempotencyClaims | undefined;
  readonly retryGate: RetryGate;
  readonly crashGuard: CrashGuard;
  readonly self: { readonly host: HostId; readonly incarnation: Incarnation };
  readonly metrics: Metrics;
}

/** Serves calls to plain services; non-idempotent calls run at most once. */
export class ServiceCallHandler {
  private readonly options: ServiceCallHandlerOptions;

  /** @param options - Components of the host. */
  constructor(options: ServiceCallHandlerOptions) {
    this.options = options;
  }

  /**
   * Serves one call.
   *
   * @param call - The call.
   * @returns The complete answer, or a refusal.
   */
  async serve(call: ResolvedCall): Promise<Result<ServiceResponse, Refusal>> {
    const { caller, route, policy } = call;
    if (policy.isCharged === true) return this.serveCharged(call);
    const charge = await this.options.rates.charge(caller.team.id, route.costTokens, policy.retry);
    if (charge.isErr()) return err(charge.error);
    const reply = await this.serveCharged(call);
    const ran = reply.isOk() || reply.error.execution === 'unknown';
    if (!ran) this.options.rates.refund(charge.value, charge.value.tokens);
    return reply;
  }

  private async serveCharged(call: ResolvedCall): Promise<Result<ServiceResponse, Refusal>> {
    const { crashGuard } = this.options;
    const request = guardedCall(call);
    crashGuard.recordArrival(request);
    const quarantined = crashGuard.refusalFor(request);
    if (quarantined !== undefined) return err(quarantined);
    const retryOf = { team: call.caller.team.id, service: call.service.id };
    const retries = new RequestRetries(this.options, retryOf, call.policy.arrivals);
    return this.serveAdmitted({ ...call, retries }).finally(() => crashGuard.recordEnd(call));
  }

  private async serveAdmitted(call: TrackedCall): Promise<Result<ServiceResponse, Refusal>> {
    if (call.route.idempotent) return this.serveIdempotent(call);
    const { claims } = this.options;
    return claims === undefined || !call.policy.claimed
      ? this.serveOnceUnclaimed(call)
      : this.serveOnceClaimed(call, claims);
  }

  /** Retries on other servers after failures; if all fail, the last error answer of a server is returned. */
  private async serveIdempotent(call: TrackedCall): Promise<Result<ServiceResponse, Refusal>> {
    const failures: FailedAttempt[] = [];
    let errorAnswer: UpstreamResponse | undefined;
    let attempts = 0;
    while (
      attempts < call.policy.maxAttempts &&
      (attempts === 0 || this.mayRetry(call, failures))
    ) {
      attempts += 1;
      const outcome = await this.attemptOnce(call, failures);
      if (outcome.type === 'refused') {
        return errorAnswer === undefined
          ? err(withExecution(outcome.refusal, failures))
          : ok({ ...errorAnswer, replayed: false });
      }
      if (outcome.type === 'answer' && outcome.answer.status < MIN_FAILURE_STATUS) {
        errorAnswer?.release?.();
        return ok({ ...outcome.answer, replayed: false });
      }
      if (outcome.type === 'answer') {
        errorAnswer?.release?.();
        errorAnswer = outcome.answer;
      }
      failures.push(outcome.type === 'answer' ? errorStatusFailure(outcome.server) : outcome);
      if (call.signal.aborted) break;
    }
    if (errorAnswer !== undefined) return ok({ ...errorAnswer, replayed: false });
    return err(withExecution(this.failedRefusal(call), failures));
  }

  private mayRetry(call: TrackedCall, failures: readonly FailedAttempt[]): boolean {
    const last = failures.at(-1);
    if (last === undefined) return true;
    const now = this.options.clock.now();
    if (now >= call.policy.deadlineAt) return false;
    if (this.options.crashGuard.guardFor(guardedCall(call)).isBlocked()) return false;
    if (reachedNoUpstream(last.error) && areAllFull(call, failures)) return false;
    return call.retries.tryRun(last.server);
  }

  private failedRefusal(call: ResolvedCall): Refusal {
    if (call.signal.aborted) return abortRefusal(call.signal);
    return this.options.clock.now() >= call.policy.deadlineAt
      ? notRun('timed_out', 'No server of this service answered before the deadline.')
      : notRun(
          'upstream_failed',
          'All servers that were tried for this call failed.',
          this.retryAfterMs(call),
        );
  }

  /** Gets when a caller may retry: once a server takes calls, where all have asked for fewer. */
  private retryAfterMs({ service }: ResolvedCall): Millis {
    return this.options.queues.getOpeningMs(service.id) ?? RETRY_AFTER_MS;
  }

  /** Runs a non-idempotent call at most once, without a claim: a retry of its caller is another call. */
  private async serveOnceUnclaimed(call: TrackedCall): Promise<Result<ServiceResponse, Refusal>> {
    const outcome = await this.attemptUntilDispatched(call);
    switch (outcome.type) {
      case 'answer':
        return ok({ ...outcome.answer, replayed: false });
      case 'refused':
        return err(outcome.refusal);
      case 'failed':
        return err(this.unclaimedRefusal(call, outcome));
      default:
        return outcome satisfies never;
    }
  }

  private unclaimedRefusal(call: ResolvedCall, { error }: FailedAttempt): Refusal {
    if (!error.dispatched) {
      return notRun('upstream_failed', 'No server accepted the call.', this.retryAfterMs(call));
    }
    return this.options.clock.now() >= call.policy.deadlineAt
      ? outcomeUnknown('timed_out', NO_COMPLETE_ANSWER)
      : outcomeUnknown('outcome_unknown', NO_COMPLETE_ANSWER);
  }

  /**
   * Runs a non-idempotent call at most once: it is claimed before dispatch and dispatched once.
   *
   * A dispatched call ends with its answer or with an unknown outcome. Its claim is kept, so that a retry of
   * the caller, here or at another host, does not run it a second time.
   */
  private async serveOnceClaimed(
    call: TrackedCall,
    claims: IdempotencyClaims,
  ): Promise<Result<ServiceResponse, Refusal>> {
    const req = claimRequestOf(call, this.options.self);
    if (req.isErr()) return err(req.error);
    const outcome = await claims.claim(req.value);
    if (outcome.type === 'claimed') return this.runClaimed(call, claims, outcome.claim);
    if (outcome.type === 'finished' && outcome.answer !== undefined) {
      this.options.metrics.count('service.replayed');
      return ok({ ...outcome.answer, replayed: true });
    }
    return err(claimRefusal(outcome) ?? notRun('internal', 'The claim has no outcome.'));
  }

  private async runClaimed(
    call: TrackedCall,
    claims: IdempotencyClaims,
    claim: Claim,
  ): Promise<Result<ServiceResponse, Refusal>> {
    const outcome = await this.attemptUntilDispatched(call);
    switch (outcome.type) {
      case 'answer':
        return finishClaimed(claims, claim, outcome.answer);
      case 'refused':
        await claims.releaseUndispatched(claim);
        return err(outcome.refusal);
      case 'failed':
        if (!outcome.error.dispatched) {
          await claims.releaseUndispatched(claim);
          return err(
            notRun('upstream_failed', 'No server accepted the call.', this.retryAfterMs(call)),
          );
        }
        return endUnknown(claims, claim);
      default:
        return outcome satisfies never;
    }
  }

  /** Retries on other servers only while the call cannot have reached one. */
  private async attemptUntilDispatched(call: TrackedCall): Promise<AttemptOutcome> {
    const failures: FailedAttempt[] = [];
    let outcome = await this.attemptOnce(call, failures);
    while (
      outcome.type === 'failed' &&
      !outcome.error.dispatched &&
      failures.length + 1 < MAX_CALL_ATTEMPTS &&
      !call.signal.aborted &&
      this.mayRetry(call, [...failures, outcome])
    ) {
      failures.push(outcome);
      outcome = await this.attemptOnce(call, failures);
    }
    return outcome;
  }

  private async attemptOnce(
    call: TrackedCall,
    failures: readonly FailedAttempt[],
  ): Promise<AttemptOutcome> {
    const request = `${call.id}.${failures.length}`;
    const { team } = call.caller;
    const { maxWaitMs, lateAt, callerTimes, priority = team.priority } = call.policy;
    const { queues, fairQueues } = this.options;
    const held: HeldCall = {
      ...{ type: 'call', request, service: call.service.id, team: team.id, priority },
    };
    const queueCall: ServiceQueueCall = {
      ...{ request, team: team.id, class: call.route.class, maxWaitMs, lateAt, priority },
      callerTimes,
      avoid: failures.map((failure) => failure.server),
      onPlaced: () => fairQueues.place(held),
    };
    fairQueues.enter({ ...held, queue: queueOf(held), lateAt });
    const chosen = await queues.acquireServer(call.service.id, queueCall, call.signal);
    fairQueues.leave(queueOf(held), request, chosen.isErr());
    if (chosen.isErr()) return { type: 'refused', refusal: chosen.error };
    const refusal = call.signal.aborted
      ? abortRefusal(call.signal)
      : this.options.crashGuard.refusalFor(guardedCall(call));
    if (refusal !== undefined) {
      fairQueues.release(held);
      queues.releaseServer(call.service.id, queueCall, chosen.value, false);
      return { type: 'refused', refusal };
    }
    if (failures.length === 0) call.retries.recordAttempt([chosen.value]);
    const sentAt = this.options.clock.now();
    call.retries.recordRun();
    const result = await this.dispatch(call, queueCall, chosen.value);
    fairQueues.release(held);
    // Also where a rest is still to be read: the server has run the call, and a slow caller must not keep its slot.
    queues.releaseServer(call.service.id, queueCall, chosen.value, hasFailed(result));
    this.recordCrash(call, sentAt, chosen.value, result);
    this.recordReachability(chosen.value, result);
    if (result.isErr()) {
      const { type, dispatched, message } = result.error;
      if (dispatched) call.policy.executions?.record();
      if (reachedNoUpstream(result.error)) call.retries.withdrawRun();
      log('try_failed', { id: call.id, server: chosen.value, error: type, dispatched, message });
    }
    return result.match(
      (answer): AttemptOutcome => ({ type: 'answer', server: chosen.value, answer }),
      (error): AttemptOutcome => ({ type: 'failed', server: chosen.value, error }),
    );
  }

  private recordCrash(
    call: ResolvedCall,
    sentAt: Millis,
    server: UpstreamId,
    result: Result<UpstreamResponse, UpstreamError>,
  ): void {
    const request = { ...guardedCall(call), sentAt };
    if (result.isErr()) this.options.crashGuard.recordFailure(request, server, result.error);
    else if (isSuccess(result.value)) this.options.crashGuard.recordSuccess(request);
  }

  private recordReachability(
    server: UpstreamId,
    result: Result<UpstreamResponse, UpstreamError>,
  ): void {
    const { slowStart } = this.options.admission;
    if (result.isOk()) slowStart.recordAnswer(server, this.options.clock.now());
    else if (hasFailedToConnect(result.error)) slowStart.recordUnreachable(server);
  }

  private remainingMs(call: ResolvedCall): Millis {
    return call.policy.deadlineAt - this.options.clock.now();
  }

  private dispatch(
    call: ResolvedCall,
    queueCall: ServiceQueueCall,
    server: UpstreamId,
  ): ResultAsync<UpstreamResponse, UpstreamError> {
    const client = this.options.directory.getServer(server)?.server;
    if (client === undefined) return errAsync(serverRemoved());
    this.options.metrics.count('service.dispatched');
    // A non-idempotent call that was sent goes on without its caller: its answer is recorded for a retry.
    const signal = call.route.idempotent ? call.signal : new AbortController().signal;
    return client.call(
      {
        attempt: queueCall.request,
        method: call.req.method,
        path: call.req.path,
        headers: call.req.headers,
        body: call.req.body,
        class: call.route.class,
        timeoutMs: Math.min(call.service.timeoutMs, Math.max(1, this.remainingMs(call))),
        team: call.caller.team.id,
        unsentSignal: call.signal,
      },
      signal,
    );
  }
}
