import type { Millis, UpstreamId } from '@camphorvane/core';
import { piecesFor, runInBackground, sleep } from '@camphorvane/core';
import type { ModelEngine, PrefillResult, UpstreamError } from '@camphorvane/upstream';
import { reachedNoUpstream } from '@camphorvane/upstream';
import { eventLog } from '../observe/EventLog.ts';
import { releaseInBackground } from '../placing/Placer.ts';
import { quarantined, reservationEnd, unconfigured } from './attemptEnds.ts';
import { DecodeStage } from './DecodeStage.ts';
import type {
  AttemptEvent,
  AttemptOutcome,
  AttemptPlan,
  AttemptDependencies,
  FailedAttempt,
} from './completionAttemptPlan.ts';

const log = eventLog('attempt');

/** Milliseconds after a prefill for another decode engine to start fetching its KV cache, kept for 500 ms. */
const KV_FAILOVER_WINDOW_MS: Millis = 350;

/** Milliseconds between two searches for a decode engine; capacity becomes free every few tens of ms. */
const CAPACITY_POLL_MS: Millis = 10;

/**
 * One attempt at a completion on a pair of engines: prefill, transfer, decode. However it ends, the
 * reservation is released and the engines are told to free the attempt's memory; a caller that
 * disconnected must not occupy engine memory.
 */
export class CompletionAttempt {
  private readonly deps: AttemptDependencies;

  private readonly plan: AttemptPlan;

  private readonly abort = new AbortController();

  /** Whether the coordinator no longer knows the reservation. */
  private isReservationLost = false;

  /** The decode engine that the request was last offered to. */
  private decodeEngine: UpstreamId;

  /**
   * @param deps - Components of the host.
   * @param plan - Input of the attempt.
   */
  constructor(deps: AttemptDependencies, plan: AttemptPlan) {
    this.deps = deps;
    this.plan = plan;
    this.decodeEngine = plan.placement.decode;
  }

  /**
   * @param signal - Aborted when the caller disconnects or the host ends the request.
   * @returns The events of the answer; the generator's return value is the outcome.
   */
  async *run(signal: AbortSignal): AsyncGenerator<AttemptEvent, AttemptOutcome> {
    const stop = (): void => this.abort.abort();
    signal.addEventListener('abort', stop, { once: true });
    if (signal.aborted) stop();
    this.registerReservation(true);
    let outcome: AttemptOutcome | undefined;
    try {
      outcome = yield* this.runStages();
      return outcome;
    } finally {
      signal.removeEventListener('abort', stop);
      this.cleanUp(outcome, signal.aborted);
    }
  }

  private async *runStages(): AsyncGenerator<AttemptEvent, AttemptOutcome> {
    const { placement } = this.plan;
    const decodeEngine = this.engine(placement.decode);
    if (decodeEngine === undefined) return this.failed(placement.decode, 'prefill', unconfigured());
    if (placement.prefill === undefined) return yield* this.decode(decodeEngine, undefined);
    const prefillEngine = this.engine(placement.prefill);
    if (prefillEngine === undefined)
      return this.failed(placement.prefill, 'prefill', unconfigured());
    const prefill = await this.prefill(prefillEngine);
    if (prefill.type === 'failed') return prefill;
    const transfer = await this.transfer(decodeEngine, prefill.result, placement.prefill);
    if (transfer !== undefined) return transfer;
    if (this.plan.guard.isBlocked()) return this.failed(decodeEngine.id, 'decode', quarantined());
    return yield* this.decodeWithFailover(decodeEngine, prefill.result);
  }

  /**
   * Decodes from the prompt's KV cache, on another decode engine where the first one rejects it. A
   * decode engine that has just crashed, or has filled up since its last load report, rejects a prompt after
   * its prefill; a second prefill would add to the load. Under overload the other engines are full too,
   * and the prompt waits for capacity.
   */
  private async *decodeWithFailover(
    first: ModelEngine,
    prefill: PrefillResult,
  ): AsyncGenerator<AttemptEvent, AttemptOutcome> {
    const { clock } = this.deps;
    const until = clock.now() + KV_FAILOVER_WINDOW_MS;
    let engine = first;
    let outcome = yield* this.decode(engine, prefill);
    const rejectedBy: UpstreamId[] = [];
    while (outcome.type === 'failed' && !outcome.error.dispatched && clock.now() < until) {
      rejectedBy.push(engine.id);
      if (this.abort.signal.aborted) return outcome;
      if (!this.plan.retries.tryRun(engine.id)) return outcome;
      const next = await this.nextDecodeEngine(rejectedBy, until);
      if (next === undefined) return outcome;
      engine = next;
      this.decodeEngine = engine.id;
      outcome = yield* this.decode(engine, prefill);
    }
    return outcome;
  }

  /** Waits for a decode engine with capacity, for as long as the prompt's KV cache is kept. */
  private async nextDecodeEngine(
    rejectedBy: readonly UpstreamId[],
    until: Millis,
  ): Promise<ModelEngine | undefined> {
    const { clock, placements } = this.deps;
    const next = placements.moveDecode(this.plan.placement.reservation, rejectedBy);
    if (next !== undefined) return this.engine(next);
    if (this.abort.signal.aborted || clock.now() + CAPACITY_POLL_MS >= until) return undefined;
    await sleep(clock, CAPACITY_POLL_MS);
    return this.nextDecodeEngine(rejectedBy, until);
  }

  private async prefill(
    engine: ModelEngine,
  ): Promise<{ readonly type: 'ran'; readonly result: PrefillResult } | FailedAttempt> {
    const { clock, metrics, placements, observer } = this.deps;
    const { placement, pool } = this.plan;
    const startedAt = clock.now();
    metrics.count('attempt.dispatched');
    const result = await engine.prefill(
      {
        attempt: placement.reservation,
        model: pool.model,
        prompt: this.plan.prompt,
        continuation: this.plan.deliveredText,
        priority: placement.priority,
      },
      this.abort.signal,
    );
    const tookMs = clock.now() - startedAt;
    const { reservation } = placement;
    placements.prefillEnded(pool.model, reservation, result.isOk() ? tookMs : undefined);
    this.registerReservation(false);
    if (result.isOk() || !reachedNoUpstream(result.error))
      this.plan.retries.recordPrefill(result.isOk());
    if (result.isErr()) return this.failed(engine.id, 'prefill', result.error);
    metrics.count('prefill.tokens', {}, result.value.promptTokens);
    const id = this.plan.identity.request;
    log('prefilled', { id, engine: engine.id, tookMs: Math.round(tookMs) });
    observer.record(pool.model, {
      type: 'prefill_done',
      engine: engine.id,
      tokens: result.value.promptTokens,
      cachedTokens: result.value.cachedTokens,
      tookMs,
      prefixes: this.plan.prefixes,
    });
    return { type: 'ran', result: result.value };
  }

  private async transfer(
    engine: ModelEngine,
    prefill: PrefillResult,
    from: UpstreamId,
  ): Promise<AttemptOutcome | undefined> {
    const { placement } = this.plan;
    const source = this.deps.directory.getEngine(from);
    const result = await engine.transfer(
      {
        attempt: placement.reservation,
        kvHandle: prefill.kvHandle,
        sourceUrl: source?.cfg.url ?? '',
        pieces: piecesFor(prefill.promptTokens),
      },
      this.abort.signal,
    );
    if (result.isOk()) return undefined;
    this.deps.metrics.count('prefill.wasted_tokens', {}, prefill.promptTokens);
    return this.failed(engine.id, 'transfer', result.error);
  }

  private async *decode(
    engine: ModelEngine,
    prefill: PrefillResult | undefined,
  ): AsyncGenerator<AttemptEvent, AttemptOutcome> {
    const { deps, plan, abort } = this;
    const fail = (id: UpstreamId, error: UpstreamError): FailedAttempt =>
      this.failed(id, 'decode', error);
    plan.retries.recordRun();
    const outcome = yield* new DecodeStage({ deps, plan, abort, fail }).run(engine, prefill);
    if (outcome.type === 'failed' && reachedNoUpstream(outcome.error)) plan.retries.withdrawRun();
    return outcome;
  }

  private registerReservation(prefillRunning: boolean): void {
    const { placement, identity, pool } = this.plan;
    if (this.isReservationLost) return;
    this.deps.renewer.track({
      model: pool.model,
      onLost: () => {
        this.isReservationLost = true;
        this.deps.metrics.count('reservation.lost');
        this.abort.abort();
      },
      state: {
        ...identity,
        reservation: placement.reservation,
        prefill: placement.prefill ?? placement.decode,
        decode: placement.decode,
        pieces: placement.pieces,
        prefillRunning,
      },
    });
  }

  private cleanUp(outcome: AttemptOutcome | undefined, callerGone: boolean): void {
    const { placement, pool } = this.plan;
    this.abort.abort();
    this.deps.renewer.untrack(placement.reservation);
    if (outcome?.type !== 'done') {
      const { prefill } = placement;
      if (prefill !== undefined)
        runInBackground('engine.cancel', () => this.engine(prefill)?.cancel(placement.reservation));
      runInBackground('engine.cancel', () =>
        this.engine(this.decodeEngine)?.cancel(placement.reservation),
      );
    }
    releaseInBackground(
      this.deps.placements,
      pool.model,
      placement.reservation,
      reservationEnd(outcome, callerGone),
    );
  }

  private engine(id: UpstreamId): ModelEngine | undefined {
    return this.deps.directory.getEngine(id)?.engine;
  }

  private failed(
    engine: UpstreamId,
    stage: 'prefill' | 'transfer' | 'decode',
    error: UpstreamError,
  ): FailedAttempt {
    this.deps.metrics.count('attempt.failed', { stage, error: error.type });
    this.deps.placements.attemptFailed(engine, error);
    const { dispatched, message } = error;
    const id = this.plan.identity.request;
    log('attempt_failed', { id, engine, stage, error: error.type, dispatched, message });
    if (error.type === 'unreachable') {
      this.deps.observer.record(this.plan.pool.model, { type: 'failed', engine, reason: 'down' });
    }
    return { type: 'failed', engine, stage, error };
  }
}
