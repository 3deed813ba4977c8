import type { HostId, Millis, PoolConfig, Refusal } from '@camphorvane/core';
import { notRun, outcomeUnknown, piecesFor, promptTokens } from '@camphorvane/core';
import { planResume } from '@camphorvane/decisions';
import type { WorkItem } from '@camphorvane/decisions';
import { reachedNobody } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RateCharge, RateGate, RepeatGate } from '../host/ports.ts';
import type { PlacedPair } from '../placing/Placer.ts';
import type {
  AttemptEvent,
  AttemptOutcome,
  AttemptTools,
  FailedAttempt,
} from './completionAttemptPlan.ts';
import { CompletionAttempt } from './CompletionAttempt.ts';
import type { CrashGuard } from './CrashGuard.ts';
import { CompletionProgress } from './CompletionProgress.ts';
import { endReason } from './endReason.ts';
import { RateQueue } from './RateQueue.ts';
import type { KnownCompletion, ServingEvent } from './completionWork.ts';
import {
  digestOf,
  endEvent,
  MAX_ATTEMPTS,
  mayHaveRun,
  repeatTarget,
  usedTokens,
  wasGivenAway,
} from './completionWork.ts';
import { promptPrefixes } from './promptPrefixes.ts';
import { waitBound } from './waitBound.ts';

/**
 * Milliseconds of silence that a caller's connection is given while its answer moves to another
 * engine; clients of OpenAI's interface wait for minutes, and people give up sooner.
 */
const RESUME_PATIENCE_MS: Millis = 15_000;

/** Speed of prefill assumed where a resume is weighed; slow engines do more than this. */
const PREFILL_TOKENS_PER_MS = 1;

const MS_PER_SECOND = 1_000;

/** What an attempt returns when its consumer stops reading; nobody looks at it any more. */
const STOPPED: AttemptOutcome = {
  type: 'failed',
  engine: '',
  stage: 'decode',
  error: { type: 'cancelled', dispatched: true, message: 'no reader' },
};

/** What completion serving is made of. */
export interface CompletionServingOptions extends AttemptTools {
  readonly self: HostId;
  readonly rates: RateGate;
  readonly repeats: RepeatGate;
  readonly crashes: CrashGuard;
}

/** Serves completions: charge, reserve, run, resume where an engine fails, refund. */
export class CompletionServing {
  private readonly options: CompletionServingOptions;

  private readonly queue: RateQueue;

  /** @param options - What it is made of. */
  constructor(options: CompletionServingOptions) {
    this.options = options;
    this.queue = new RateQueue(options.clock, options.rates);
  }

  /**
   * Serves one completion.
   *
   * @param work - The completion.
   * @returns Its events; ends after `done`, `answer` or `refused`.
   */
  async *serve(work: KnownCompletion): AsyncGenerator<ServingEvent> {
    const pool = this.poolFor(work);
    if (pool.isErr()) {
      yield { type: 'refused', refusal: pool.error };
      return;
    }
    const acceptedAt = this.options.clock.now();
    const charge = await this.queue.charge(
      {
        team: work.caller.team,
        class: work.class,
        tokens: promptTokens(work.prompt) + work.maxTokens,
        maxWaitMs: waitBound(work.config, pool.value, work.caller.team.id, work.class),
      },
      work.signal,
    );
    if (charge.isErr()) {
      yield { type: 'refused', refusal: charge.error };
      return;
    }
    yield* this.serveCharged(work, pool.value, charge.value, acceptedAt);
  }

  private async *serveCharged(
    work: KnownCompletion,
    pool: PoolConfig,
    charge: RateCharge,
    acceptedAt: Millis,
  ): AsyncGenerator<ServingEvent> {
    const progress = new CompletionProgress(
      promptTokens(work.prompt),
      acceptedAt,
      digestOf(work),
      work.terms.fromPosition,
    );
    try {
      yield* this.attempts(work, pool, progress);
    } finally {
      const used = usedTokens(work, progress, charge);
      this.options.rates.refund(charge, Math.max(0, charge.tokens - used));
    }
  }

  private async *attempts(
    work: KnownCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
  ): AsyncGenerator<ServingEvent> {
    let left = MAX_ATTEMPTS;
    while (left > 0) {
      left -= 1;
      const placement = await this.placeNext(work, pool, progress);
      if (placement.isErr()) {
        yield { type: 'refused', refusal: this.refusalFor(work, progress, placement.error) };
        return;
      }
      const outcome = yield* this.attempt(work, pool, progress, placement.value);
      if (outcome.type !== 'failed') {
        this.options.crashes.succeeded(progress.digest);
        yield endEvent(outcome, progress);
        return;
      }
      const end = this.endAfter(work, pool, progress, outcome);
      if (end !== undefined) {
        yield { type: 'refused', refusal: this.refusalFor(work, progress, end) };
        return;
      }
    }
    yield { type: 'refused', refusal: this.refusalFor(work, progress, enginesFailed()) };
  }

  /** Gets a place for the next attempt, unless the request has come to be held back. */
  private async placeNext(
    work: KnownCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
  ): Promise<Result<PlacedPair, Refusal>> {
    const heldBack = this.options.crashes.refusalFor(progress.digest);
    if (heldBack !== undefined) return err(heldBack);
    const placement = await this.reserve(work, pool, progress);
    const isFirst = progress.getAvoided().length === 0;
    return placement.map((place) => {
      if (isFirst) this.noteFirstAttempt(work, pool, place);
      return place;
    });
  }

  private noteFirstAttempt(work: KnownCompletion, pool: PoolConfig, place: PlacedPair): void {
    const now = this.options.clock.now();
    const engines = [place.prefill, place.decode].filter((engine) => engine !== undefined);
    const request = { team: work.caller.team.id, service: pool.model };
    this.options.repeats.attempted(request, engines, now);
  }

  /** Decides whether a completion goes on after a failed attempt; gets the refusal if it ends. */
  private endAfter(
    work: KnownCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
    outcome: FailedAttempt,
  ): Refusal | undefined {
    progress.noteFailure(outcome.engine);
    if (mayHaveRun(work, outcome)) progress.noteRun();
    if (work.signal.aborted) return enginesFailed();
    this.options.crashes.failed(progress.digest, outcome.engine, outcome.error);
    if (progress.getRuns() >= work.terms.maxRuns) return enginesFailed();
    const now = this.options.clock.now();
    const plan = planResume(
      {
        idempotent: work.terms.resumable || progress.getRuns() === 0,
        promptTokens: progress.promptTokens,
        deliveredTokens: progress.getPosition(),
        maxOutputTokens: work.maxTokens,
        patienceMs: RESUME_PATIENCE_MS,
        kv: undefined,
      },
      {
        prefillWaitMs: 0,
        prefillRate: PREFILL_TOKENS_PER_MS,
        transferMs: (piecesFor(progress.promptTokens) / pool.linkPiecesPerSecond) * MS_PER_SECOND,
        mayRetry: () =>
          reachedNobody(outcome.error) ||
          this.options.repeats.tryRepeat(repeatTarget(work, pool, outcome.engine), now),
      },
      now,
    );
    if (plan.type !== 'end') {
      this.options.metrics.count('attempt.resumed');
      return undefined;
    }
    return plan.reason === 'budget_spent' ? budgetSpent() : enginesFailed();
  }

  private async *attempt(
    work: KnownCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
    placement: PlacedPair,
  ): AsyncGenerator<ServingEvent, AttemptOutcome> {
    const attempt = new CompletionAttempt(this.options, {
      pool,
      placement,
      identity: { request: work.id, holder: this.options.self, team: work.caller.team.id },
      prompt: work.prompt,
      prefixes: promptPrefixes(work.prompt),
      delivered: progress.getText(),
      fromPosition: progress.getPosition(),
      maxTokens: work.maxTokens,
      mayRepeat: () =>
        this.options.repeats.tryRepeat(
          repeatTarget(work, pool, placement.decode),
          this.options.clock.now(),
        ),
    });
    progress.noteDispatch();
    const events = attempt.run(work.signal);
    try {
      let next = await events.next();
      while (next.done !== true) {
        this.noteEvent(work, progress, next.value);
        yield next.value;
        next = await events.next();
      }
      return next.value;
    } finally {
      // A consumer that stops reading ends this generator here; the attempt must end with it.
      await events.return(STOPPED);
    }
  }

  private noteEvent(
    work: KnownCompletion,
    progress: CompletionProgress,
    event: AttemptEvent,
  ): void {
    if (event.type === 'head') return;
    if (!progress.hasDelivered()) {
      const ttft = this.options.clock.now() - progress.startedAt;
      this.options.metrics.timing('request.ttft', ttft, { class: work.class });
    }
    if (event.type === 'token') progress.noteToken(event.text);
    else progress.notePiece(event.position);
  }

  private reserve(
    work: KnownCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
  ): Promise<Result<PlacedPair, Refusal>> {
    const { caller } = work;
    const item: WorkItem = {
      request: work.id,
      holder: this.options.self,
      team: caller.team.id,
      weight: caller.team.weight,
      class: work.class,
      promptTokens: progress.promptTokens + progress.getPosition(),
      maxOutputTokens: Math.max(1, work.maxTokens - progress.getPosition()),
      prefixes: promptPrefixes(work.prompt),
      maxWaitMs: work.terms.maxWaitMs ?? waitBound(work.config, pool, caller.team.id, work.class),
      avoid: progress.getAvoided(),
      expectedOutputTokens: work.terms.expectedTokens,
      onTimeMs: work.terms.onTimeMs,
      longestPauseMs: work.terms.longestPauseMs,
      priority: work.terms.priority,
    };
    return this.options.placements.reserve(pool.model, item, work.signal);
  }

  private poolFor(work: KnownCompletion): Result<PoolConfig, Refusal> {
    const { caller, model } = work;
    const pool = this.options.directory.getPool(model);
    if (pool === undefined) return err(notRun('unknown_model', 'There is no such model.'));
    const allowed = caller.team.models.length === 0 || caller.team.models.includes(model);
    if (!allowed) return err(notRun('model_not_allowed', 'The team may not use this model.'));
    if (promptTokens(work.prompt) + work.maxTokens > pool.maxTokens) {
      return err(
        notRun('prompt_too_long', `Prompt and output exceed ${pool.maxTokens} tokens together.`),
      );
    }
    return ok(pool);
  }

  /** A refusal must not say "not run" once an engine was given the work. */
  private refusalFor(
    work: KnownCompletion,
    progress: CompletionProgress,
    refusal: Refusal,
  ): Refusal {
    const reason = work.signal.aborted ? endReason(work.signal) : refusal;
    return wasGivenAway(work, progress)
      ? { ...reason, execution: 'unknown' }
      : { ...reason, execution: 'not_run' };
  }
}

function enginesFailed(): Refusal {
  return outcomeUnknown('upstream_failed', 'The engines that ran this request failed.');
}

function budgetSpent(): Refusal {
  const text = 'The engine failed, and too many requests are being repeated already.';
  return { ...outcomeUnknown('retry_budget_spent', text), retryAfterMs: 2_000 };
}
