import type { CompletionEvent, CompletionRequest } from '@camphorvane/caller';
import type {
  HostId,
  Millis,
  PoolConfig,
  Refusal,
  RequestId,
  RoutingConfig,
} from '@camphorvane/core';
import { estimateTokens, notRun, outcomeUnknown, piecesFor } from '@camphorvane/core';
import { planResume } from '@camphorvane/decisions';
import type { RetryBudget, WorkItem } from '@camphorvane/decisions';
import type { Placement } from '@camphorvane/peer';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AuthenticatedCaller } from '../host/Authenticator.ts';
import type { RateCharge, RateGate } from '../host/ports.ts';
import type { AttemptOutcome, AttemptTools, FailedAttempt } from './CompletionAttempt.ts';
import { CompletionAttempt } from './CompletionAttempt.ts';
import { CrashDesk } from './CrashDesk.ts';
import { CompletionProgress } from './CompletionProgress.ts';
import { RateQueue } from './RateQueue.ts';
import { promptPrefixes } from './promptPrefixes.ts';
import { waitBound } from './waitBound.ts';

/** Attempts for one completion; more would let one bad prompt visit every engine. */
const MAX_ATTEMPTS = 4;

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

/** A completion whose caller is known. */
export interface KnownCompletion {
  readonly id: RequestId;
  readonly req: CompletionRequest;
  readonly caller: AuthenticatedCaller;
  readonly config: RoutingConfig;
  /** Aborted when the caller has gone, or with a refusal as reason when the host ends it. */
  readonly signal: AbortSignal;
}

/** What completion serving is made of. */
export interface CompletionServingOptions extends AttemptTools {
  readonly self: HostId;
  readonly rates: RateGate;
  readonly retries: RetryBudget;
  readonly crashes: CrashDesk;
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
   * @returns Its events; ends after `done` or `refused`.
   */
  async *serve(work: KnownCompletion): AsyncGenerator<CompletionEvent> {
    const pool = this.poolFor(work);
    if (pool.isErr()) {
      yield { type: 'refused', refusal: pool.error };
      return;
    }
    const acceptedAt = this.options.clock.now();
    const charge = await this.queue.charge(
      {
        team: work.caller.team,
        class: work.req.class,
        tokens: estimateTokens(work.req.prompt) + work.req.maxTokens,
        maxWaitMs: waitBound(work.config, pool.value, work.caller.team.id, work.req.class),
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
  ): AsyncGenerator<CompletionEvent> {
    const progress = new CompletionProgress(
      estimateTokens(work.req.prompt),
      acceptedAt,
      CrashDesk.digestOf(work.req.model, work.req.prompt),
    );
    try {
      yield* this.attempts(work, pool, progress);
    } finally {
      // What was dispatched cost its prompt; output that was never made is given back.
      const used = progress.getUsedTokens();
      this.options.rates.refund(charge, Math.max(0, charge.tokens - used));
    }
  }

  private async *attempts(
    work: KnownCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
  ): AsyncGenerator<CompletionEvent> {
    let left = MAX_ATTEMPTS;
    while (left > 0) {
      left -= 1;
      const placement = await this.placeNext(work, pool, progress);
      if (placement.isErr()) {
        yield { type: 'refused', refusal: this.refusalFor(work, progress, placement.error) };
        return;
      }
      const outcome = yield* this.attempt(work, pool, progress, placement.value);
      if (outcome.type === 'done') {
        this.options.crashes.succeeded(progress.digest);
        yield {
          type: 'done',
          reason: outcome.reason,
          promptTokens: outcome.prefill.promptTokens,
          cachedTokens: outcome.prefill.cachedTokens,
          outputTokens: progress.getPosition(),
        };
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
  ): Promise<Result<Placement, Refusal>> {
    const heldBack = this.options.crashes.refusalFor(progress.digest);
    if (heldBack !== undefined) return err(heldBack);
    const placement = await this.reserve(work, pool, progress);
    const isFirst = !progress.wasDispatched();
    return placement.map((place) => {
      const now = this.options.clock.now();
      if (isFirst) this.options.retries.attempted(work.caller.team.id, place.prefill, now);
      if (isFirst) this.options.retries.attempted(work.caller.team.id, place.decode, now);
      return place;
    });
  }

  /** Decides whether a completion goes on after a failed attempt; gets the refusal if it ends. */
  private endAfter(
    work: KnownCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
    outcome: FailedAttempt,
  ): Refusal | undefined {
    if (work.signal.aborted) return enginesFailed();
    progress.noteFailure(outcome.engine);
    this.options.crashes.failed(progress.digest, outcome.engine, outcome.error);
    const now = this.options.clock.now();
    const plan = planResume(
      {
        idempotent: true,
        promptTokens: progress.promptTokens,
        deliveredTokens: progress.getPosition(),
        maxOutputTokens: work.req.maxTokens,
        patienceMs: RESUME_PATIENCE_MS,
        kv: undefined,
      },
      {
        prefillWaitMs: 0,
        prefillRate: PREFILL_TOKENS_PER_MS,
        transferMs: (piecesFor(progress.promptTokens) / pool.linkPiecesPerSecond) * MS_PER_SECOND,
        mayRetry: () => this.options.retries.tryRetry(work.caller.team.id, outcome.engine, now),
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
    placement: Placement,
  ): AsyncGenerator<CompletionEvent, AttemptOutcome> {
    const attempt = new CompletionAttempt(this.options, {
      pool,
      placement,
      identity: { request: work.id, holder: this.options.self, team: work.caller.team.id },
      prompt: work.req.prompt,
      prefixes: promptPrefixes(work.req.prompt),
      delivered: progress.getText(),
      fromPosition: progress.getPosition(),
      maxTokens: work.req.maxTokens,
    });
    progress.noteDispatch();
    const tokens = attempt.run(work.signal);
    try {
      let next = await tokens.next();
      while (next.done !== true) {
        this.noteFirstToken(work, progress);
        progress.noteToken(next.value.text);
        yield { type: 'token', position: next.value.position, text: next.value.text };
        next = await tokens.next();
      }
      return next.value;
    } finally {
      // A consumer that stops reading ends this generator here; the attempt must end with it.
      await tokens.return(STOPPED);
    }
  }

  private noteFirstToken(work: KnownCompletion, progress: CompletionProgress): void {
    if (progress.getPosition() > 0) return;
    const ttft = this.options.clock.now() - progress.startedAt;
    this.options.metrics.timing('request.ttft', ttft, { class: work.req.class });
  }

  private reserve(
    work: KnownCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
  ): Promise<Result<Placement, Refusal>> {
    const { req, caller } = work;
    const item: WorkItem = {
      request: work.id,
      holder: this.options.self,
      team: caller.team.id,
      weight: caller.team.weight,
      class: req.class,
      promptTokens: progress.promptTokens + progress.getPosition(),
      maxOutputTokens: Math.max(1, req.maxTokens - progress.getPosition()),
      prefixes: promptPrefixes(req.prompt),
      maxWaitMs: waitBound(work.config, pool, caller.team.id, req.class),
      avoid: progress.getAvoided(),
    };
    return this.options.placements.reserve(pool.model, item, work.signal);
  }

  private poolFor(work: KnownCompletion): Result<PoolConfig, Refusal> {
    const { req, caller } = work;
    const pool = this.options.directory.getPool(req.model);
    if (pool === undefined) return err(notRun('unknown_model', 'There is no such model.'));
    const allowed = caller.team.models.length === 0 || caller.team.models.includes(req.model);
    if (!allowed) return err(notRun('model_not_allowed', 'The team may not use this model.'));
    if (estimateTokens(req.prompt) + req.maxTokens > pool.maxTokens) {
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
    return progress.wasDispatched() ? { ...reason, execution: 'unknown' } : reason;
  }
}

function enginesFailed(): Refusal {
  return outcomeUnknown('upstream_failed', 'The engines that ran this request failed.');
}

function budgetSpent(): Refusal {
  const text = 'The engine failed, and too many requests are being repeated already.';
  return { ...outcomeUnknown('retry_budget_spent', text), retryAfterMs: 2_000 };
}

/** Gets why a request was ended from outside: the host's refusal, or that its caller has gone. */
function endReason(signal: AbortSignal): Refusal {
  const reason: unknown = signal.reason;
  return isRefusal(reason) ? reason : notRun('caller_gone', 'The caller closed its connection.');
}

function isRefusal(value: unknown): value is Refusal {
  return typeof value === 'object' && value !== null && 'code' in value && 'execution' in value;
}
