import type { Clock, Millis, PoolConfig, Tokens, UpstreamId } from '@camphorvane/core';
import { piecesFor } from '@camphorvane/core';
import type { AdoptedReservation, PromptPrefix, ReservationEnd } from '@camphorvane/decisions';
import type { Placement } from '@camphorvane/peer';
import type { DecodeEvent, ModelEngine, PrefillResult, UpstreamError } from '@camphorvane/upstream';
import type { Metrics } from '../observe/Metrics.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { EngineWatch } from '../placing/EngineWatch.ts';
import type { PlacementClient } from '../placing/PlacementClient.ts';
import type { ReservationKeeper } from '../placing/ReservationKeeper.ts';

/** The parts of a host that an attempt uses. */
export interface AttemptTools {
  readonly clock: Clock;
  readonly directory: UpstreamDirectory;
  readonly placements: PlacementClient;
  readonly keeper: ReservationKeeper;
  readonly watch: EngineWatch;
  readonly metrics: Metrics;
}

/** What one attempt is to run. */
export interface AttemptPlan {
  readonly pool: PoolConfig;
  readonly placement: Placement;
  readonly identity: Pick<AdoptedReservation, 'request' | 'holder' | 'team'>;
  readonly prompt: string;
  readonly prefixes: readonly PromptPrefix[];
  /** Text already delivered by earlier attempts. */
  readonly delivered: string;
  /** Position of the first token to deliver. */
  readonly fromPosition: number;
  readonly maxTokens: Tokens;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | {
      readonly type: 'done';
      readonly reason: 'stop' | 'length';
      readonly prefill: PrefillResult;
      readonly outputTokens: Tokens;
    }
  | FailedAttempt;

/** An attempt that failed, and where. */
export interface FailedAttempt {
  readonly type: 'failed';
  readonly engine: UpstreamId;
  readonly stage: 'prefill' | 'transfer' | 'decode';
  readonly error: UpstreamError;
}

/** One token of an attempt. */
export interface AttemptToken {
  readonly position: number;
  readonly text: string;
}

/**
 * One try at a completion on one pair of engines: prefill, transfer, decode.
 *
 * Whatever way it ends, the reservation is released and the engines are told to free what the
 * attempt holds; a caller that has gone must not hold engine memory.
 */
export class CompletionAttempt {
  private readonly tools: AttemptTools;

  private readonly plan: AttemptPlan;

  private readonly abort = new AbortController();

  private lost = false;

  /**
   * @param tools - The parts of the host that it uses.
   * @param plan - What it runs.
   */
  constructor(tools: AttemptTools, plan: AttemptPlan) {
    this.tools = tools;
    this.plan = plan;
  }

  /**
   * Runs the attempt.
   *
   * @param signal - Aborted when the caller has gone.
   * @returns Tokens as they come; the generator's return value is the outcome.
   */
  async *run(signal: AbortSignal): AsyncGenerator<AttemptToken, AttemptOutcome> {
    const stop = (): void => this.abort.abort();
    signal.addEventListener('abort', stop, { once: true });
    if (signal.aborted) stop();
    this.keep(true);
    let outcome: AttemptOutcome | undefined;
    try {
      outcome = yield* this.stages();
      return outcome;
    } finally {
      signal.removeEventListener('abort', stop);
      this.end(outcome, signal.aborted);
    }
  }

  private async *stages(): AsyncGenerator<AttemptToken, AttemptOutcome> {
    const { placement } = this.plan;
    const prefillEngine = this.engine(placement.prefill);
    const decodeEngine = this.engine(placement.decode);
    if (prefillEngine === undefined)
      return this.failed(placement.prefill, 'prefill', unconfigured());
    if (decodeEngine === undefined) return this.failed(placement.decode, 'prefill', unconfigured());
    const prefill = await this.prefill(prefillEngine);
    if (prefill.type === 'failed') return prefill;
    const transfer = await this.transfer(decodeEngine, prefill.result);
    if (transfer !== undefined) return transfer;
    return yield* this.decode(decodeEngine, prefill.result);
  }

  private async prefill(
    engine: ModelEngine,
  ): Promise<{ readonly type: 'ran'; readonly result: PrefillResult } | FailedAttempt> {
    const { clock, metrics, placements, watch } = this.tools;
    const { placement, pool } = this.plan;
    const startedAt = clock.now();
    metrics.count('attempt.dispatched');
    const result = await engine.prefill(
      {
        attempt: placement.reservation,
        model: pool.model,
        prompt: this.plan.prompt,
        continuation: this.plan.delivered,
        priority: placement.priority,
      },
      this.abort.signal,
    );
    placements.prefillEnded(pool.model, placement.reservation);
    this.keep(false);
    if (result.isErr()) return this.failed(engine.id, 'prefill', result.error);
    metrics.count('prefill.tokens', {}, result.value.promptTokens);
    watch.seen(pool.model, {
      type: 'prefill_done',
      engine: engine.id,
      tokens: result.value.promptTokens,
      cachedTokens: result.value.cachedTokens,
      tookMs: clock.now() - startedAt,
      prefixes: this.plan.prefixes,
    });
    return { type: 'ran', result: result.value };
  }

  private async transfer(
    engine: ModelEngine,
    prefill: PrefillResult,
  ): Promise<AttemptOutcome | undefined> {
    const { placement } = this.plan;
    const source = this.tools.directory.getEngine(placement.prefill);
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
    this.tools.metrics.count('prefill.wasted_tokens', {}, prefill.promptTokens);
    return this.failed(engine.id, 'transfer', result.error);
  }

  private async *decode(
    engine: ModelEngine,
    prefill: PrefillResult,
  ): AsyncGenerator<AttemptToken, AttemptOutcome> {
    const { plan } = this;
    let delivered = 0;
    let lastAt: Millis | undefined;
    const stream = engine.decode(
      {
        attempt: plan.placement.reservation,
        kvHandle: prefill.kvHandle,
        maxTokens: plan.maxTokens,
        fromPosition: plan.fromPosition,
        priority: plan.placement.priority,
      },
      this.abort.signal,
    );
    for await (const event of stream) {
      if (event.isErr()) {
        if (delivered === 0) {
          this.tools.metrics.count('prefill.wasted_tokens', {}, prefill.promptTokens);
        }
        return this.failed(engine.id, 'decode', event.error);
      }
      lastAt = this.noteInterval(engine.id, event.value, lastAt);
      if (event.value.type === 'done') {
        return {
          type: 'done',
          reason: event.value.reason,
          prefill,
          outputTokens: plan.fromPosition + delivered,
        };
      }
      delivered += 1;
      yield { position: event.value.position, text: event.value.text };
    }
    return this.failed(engine.id, 'decode', endedEarly());
  }

  private noteInterval(
    engine: UpstreamId,
    event: DecodeEvent,
    lastAt: Millis | undefined,
  ): Millis | undefined {
    if (event.type !== 'token') return lastAt;
    const now = this.tools.clock.now();
    if (lastAt !== undefined) {
      const { pool, placement } = this.plan;
      this.tools.watch.interval(pool.model, engine, placement.reservation, now - lastAt);
      this.tools.metrics.timing('request.token_interval', now - lastAt);
    }
    return now;
  }

  private keep(prefillRunning: boolean): void {
    const { placement, identity, pool } = this.plan;
    if (this.lost) return;
    this.tools.keeper.keep({
      model: pool.model,
      onLost: () => {
        this.lost = true;
        this.tools.metrics.count('reservation.lost');
        this.abort.abort();
      },
      state: {
        ...identity,
        reservation: placement.reservation,
        prefill: placement.prefill,
        decode: placement.decode,
        pieces: placement.pieces,
        prefillRunning,
      },
    });
  }

  private end(outcome: AttemptOutcome | undefined, callerGone: boolean): void {
    const { placement, pool } = this.plan;
    this.abort.abort();
    this.tools.keeper.drop(placement.reservation);
    if (outcome?.type !== 'done') {
      void this.engine(placement.prefill)?.cancel(placement.reservation);
      void this.engine(placement.decode)?.cancel(placement.reservation);
    }
    void this.tools.placements.release(
      pool.model,
      placement.reservation,
      endOf(outcome, callerGone),
    );
  }

  private engine(id: UpstreamId): ModelEngine | undefined {
    return this.tools.directory.getEngine(id)?.engine;
  }

  private failed(
    engine: UpstreamId,
    stage: 'prefill' | 'transfer' | 'decode',
    error: UpstreamError,
  ): FailedAttempt {
    this.tools.metrics.count('attempt.failed', { stage, error: error.type });
    if (error.type === 'unreachable') {
      this.tools.watch.seen(this.plan.pool.model, { type: 'failed', engine, reason: 'down' });
    }
    return { type: 'failed', engine, stage, error };
  }
}

function endOf(outcome: AttemptOutcome | undefined, callerGone: boolean): ReservationEnd {
  if (callerGone || outcome === undefined) return 'caller_gone';
  switch (outcome.type) {
    case 'done':
      return 'done';
    case 'failed':
      return outcome.stage === 'decode' ? 'failed_in_decode' : 'failed_before_decode';
    default:
      return outcome satisfies never;
  }
}

function unconfigured(): UpstreamError {
  return { type: 'unreachable', dispatched: false, message: 'not in the configuration' };
}

function endedEarly(): UpstreamError {
  return { type: 'broken', dispatched: true, message: 'stream ended early' };
}
