import type { Millis, UpstreamId } from '@camphorvane/core';
import { piecesFor, sleep } from '@camphorvane/core';
import type { DecodeEvent, ModelEngine, PrefillResult, UpstreamError } from '@camphorvane/upstream';
import { reachedNobody } from '@camphorvane/upstream';
import { stateLog } from '../observe/StateLog.ts';

import { endedEarly, endOf, engineGone, unconfigured } from './attemptEnds.ts';
import { StallWatch } from './StallWatch.ts';
import type {
  AttemptEvent,
  AttemptOutcome,
  AttemptPlan,
  AttemptTools,
  FailedAttempt,
} from './completionAttemptPlan.ts';

const log = stateLog('attempt');

/**
 * Milliseconds after a prefill for which its result is still offered to another decode engine. Engines
 * keep it for half a second, and the transfer must have begun by then.
 */
const HANDLE_LIFE_MS: Millis = 350;

/** Milliseconds without an event after which an engine is asked whether it is there. */
const SILENT_MS: Millis = 1_000;

/** Milliseconds between two looks for room; room comes back every some tens of milliseconds. */
const ROOM_LOOK_MS: Millis = 10;

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

  /** Whether the decode engine has gone without closing the connection. */
  private isGone = false;

  /** The decode engine that has the request now. */
  private decodeAt: UpstreamId;

  /**
   * @param tools - The parts of the host that it uses.
   * @param plan - What it runs.
   */
  constructor(tools: AttemptTools, plan: AttemptPlan) {
    this.tools = tools;
    this.plan = plan;
    this.decodeAt = plan.placement.decode;
  }

  /**
   * Runs the attempt.
   *
   * @param signal - Aborted when the caller has gone.
   * @returns Events as they come; the generator's return value is the outcome.
   */
  async *run(signal: AbortSignal): AsyncGenerator<AttemptEvent, AttemptOutcome> {
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

  private async *stages(): AsyncGenerator<AttemptEvent, AttemptOutcome> {
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
    return yield* this.decodeSomewhere(decodeEngine, prefill.result);
  }

  /**
   * Gives the prompt's memory to a decode engine, and to another one where the first does not take it.
   *
   * A decode engine that has just crashed, or filled up unseen, refuses after the prompt was read; reading
   * it again would load the prefill engines once more. Under overload the other engines are full too, and
   * the prompt waits for room.
   */
  private async *decodeSomewhere(
    first: ModelEngine,
    prefill: PrefillResult,
  ): AsyncGenerator<AttemptEvent, AttemptOutcome> {
    const { clock } = this.tools;
    const until = clock.now() + HANDLE_LIFE_MS;
    let engine = first;
    let outcome = yield* this.decode(engine, prefill);
    const refusedBy: UpstreamId[] = [];
    while (outcome.type === 'failed' && !outcome.error.dispatched && clock.now() < until) {
      refusedBy.push(engine.id);
      if (this.abort.signal.aborted) return outcome;
      if (!reachedNobody(outcome.error) && !this.plan.mayRepeat()) return outcome;
      const next = await this.nextDecode(refusedBy, until);
      if (next === undefined) return outcome;
      engine = next;
      this.decodeAt = engine.id;
      outcome = yield* this.decode(engine, prefill);
    }
    return outcome;
  }

  /** Waits for a decode engine with room, for as long as the prompt's memory is kept. */
  private async nextDecode(
    refusedBy: readonly UpstreamId[],
    until: Millis,
  ): Promise<ModelEngine | undefined> {
    const { clock, placements } = this.tools;
    const next = placements.moveDecode(this.plan.placement.reservation, refusedBy);
    if (next !== undefined) return this.engine(next);
    if (this.abort.signal.aborted || clock.now() + ROOM_LOOK_MS >= until) return undefined;
    await sleep(clock, ROOM_LOOK_MS);
    return this.nextDecode(refusedBy, until);
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
    const tookMs = clock.now() - startedAt;
    const { reservation } = placement;
    placements.prefillEnded(pool.model, reservation, result.isOk() ? tookMs : undefined);
    this.keep(false);
    if (result.isErr()) return this.failed(engine.id, 'prefill', result.error);
    metrics.count('prefill.tokens', {}, result.value.promptTokens);
    const id = this.plan.identity.request;
    log('prefilled', { id, engine: engine.id, tookMs: Math.round(tookMs) });
    watch.seen(pool.model, {
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
    const source = this.tools.directory.getEngine(from);
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
    prefill: PrefillResult | undefined,
  ): AsyncGenerator<AttemptEvent, AttemptOutcome> {
    const { plan } = this;
    // The engine's zone may have been drained while the prompt was read.
    if (this.engine(engine.id) === undefined) {
      return this.failed(engine.id, 'decode', unconfigured());
    }
    let delivered = 0;
    let lastAt: Millis | undefined;
    const stream = engine.decode(
      {
        attempt: plan.placement.reservation,
        prompt: typeof plan.prompt === 'string' ? undefined : plan.prompt,
        kvHandle: prefill?.kvHandle,
        maxTokens: plan.maxTokens,
        fromPosition: plan.fromPosition,
        priority: plan.placement.priority,
      },
      this.abort.signal,
    );
    const stall = this.watchForStall(engine);
    try {
      for await (const event of stream) {
        stall.progress();
        if (event.isErr()) {
          if (delivered === 0 && prefill !== undefined) {
            this.tools.metrics.count('prefill.wasted_tokens', {}, prefill.promptTokens);
          }
          return this.failed(engine.id, 'decode', this.isGone ? engineGone() : event.error);
        }
        const { value } = event;
        lastAt = this.noteInterval(engine.id, value, lastAt);
        switch (value.type) {
          case 'done':
            return {
              type: 'done',
              reason: value.reason,
              prefill,
              outputTokens: plan.fromPosition + delivered,
            };
          case 'answer':
            return { type: 'answered', engine: engine.id, head: value.head, body: value.body };
          case 'head':
          case 'token':
          case 'piece':
            if (prefill === undefined && delivered === 0) this.notePromptRead();
            if (value.type !== 'head') delivered += 1;
            yield value;
            break;
          default:
            value satisfies never;
        }
      }
    } finally {
      stall.close();
    }
    return this.failed(engine.id, 'decode', endedEarly());
  }

  /** Ends the attempt where its engine is gone, so that the stream can go on at another one. */
  private watchForStall(engine: ModelEngine): StallWatch {
    return new StallWatch({
      clock: this.tools.clock,
      silentMs: SILENT_MS,
      isThere: async () => (await engine.load()).isOk(),
      onGone: () => {
        this.isGone = true;
        this.tools.metrics.count('attempt.engine_gone');
        this.abort.abort();
      },
    });
  }

  /** An engine that reads the prompt itself shows by its first event that it has done so. */
  private notePromptRead(): void {
    const { pool, placement } = this.plan;
    this.tools.placements.prefillEnded(pool.model, placement.reservation);
  }

  private noteInterval(
    engine: UpstreamId,
    event: DecodeEvent,
    lastAt: Millis | undefined,
  ): Millis | undefined {
    if (event.type !== 'token' && event.type !== 'piece') return lastAt;
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
        prefill: placement.prefill ?? placement.decode,
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
      const { prefill } = placement;
      if (prefill !== undefined) void this.engine(prefill)?.cancel(placement.reservation);
      void this.engine(this.decodeAt)?.cancel(placement.reservation);
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
    this.tools.placements.attemptFailed(engine, error);
    const { dispatched, message } = error;
    const id = this.plan.identity.request;
    log('attempt_failed', { id, engine, stage, error: error.type, dispatched, message });
    if (error.type === 'unreachable') {
      this.tools.watch.seen(this.plan.pool.model, { type: 'failed', engine, reason: 'down' });
    }
    return { type: 'failed', engine, stage, error };
  }
}
