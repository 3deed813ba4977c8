import type { HostId, Millis, PoolConfig, Refusal } from '@camphorvane/core';
import { notRun, piecesFor, countPromptTokens } from '@camphorvane/core';
import { planResume } from '@camphorvane/decisions';
import type { WorkItem } from '@camphorvane/decisions';
import { isSuccessStatus } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RateCharge, RateGate, RetryGate } from '../host/ports.ts';
import { type EnginePlacement, releaseInBackground } from '../placing/Placer.ts';
import type {
  AttemptEvent,
  AttemptOutcome,
  AttemptDependencies,
  FailedAttempt,
} from './completionAttemptPlan.ts';
import { CompletionAttempt } from './CompletionAttempt.ts';
import type { CrashGuard } from './CrashGuard.ts';
import type { CompletionProgress } from './CompletionProgress.ts';
import { UNREAD_OUTCOME } from './attemptEnds.ts';
import { budgetSpent, completionRefusal, enginesFailed } from './completionRefusals.ts';
import { RateQueue } from './RateQueue.ts';
import { RequestRetries } from './RequestRetries.ts';
import type { ResolvedCompletion, ServingEvent } from './resolvedCompletion.ts';
import {
  guardedCompletion,
  finalEvent,
  MAX_COMPLETION_ATTEMPTS,
  attemptMayHaveExecuted,
  progressOf,
  chargeableTokens,
  streamLimits,
} from './resolvedCompletion.ts';
import { promptPrefixes } from './promptPrefixes.ts';
import { maxQueueWait } from './maxQueueWait.ts';

/**
 * Longest pause of a stream, in milliseconds, while it resumes at another engine. Clients of the OpenAI
 * API wait for minutes, but their users give up sooner.
 */
const MAX_RESUME_PAUSE_MS: Millis = 15_000;

/** Prefill rate assumed when a resume is planned; even slow engines are faster. */
const MIN_PREFILL_TOKENS_PER_MS = 1;

const MS_PER_SECOND = 1_000;

/** Options of a `CompletionHandler`. */
export interface CompletionHandlerOptions extends AttemptDependencies {
  readonly self: HostId;
  readonly rates: RateGate;
  readonly retryGate: RetryGate;
  readonly crashGuard: CrashGuard;
}

/** Serves completions: charges the team, reserves engines, runs and resumes attempts, refunds unused tokens. */
export class CompletionHandler {
  private readonly options: CompletionHandlerOptions;

  private readonly queue: RateQueue;

  /** @param options - Identity and components of the host. */
  constructor(options: CompletionHandlerOptions) {
    this.options = options;
    this.queue = new RateQueue(options.clock, options.rates);
  }

  /**
   * Serves one completion.
   *
   * @param completion - The completion.
   * @returns Its events; the last one is `done`, `answer` or `refused`.
   */
  async *serve(completion: ResolvedCompletion): AsyncGenerator<ServingEvent> {
    const pool = this.poolFor(completion);
    if (pool.isErr()) {
      yield { type: 'refused', refusal: pool.error };
      return;
    }
    const acceptedAt = this.options.clock.now();
    if (completion.policy.isCharged === true) {
      yield* this.runAttempts(
        completion,
        pool.value,
        progressOf(completion, acceptedAt, this.retriesOf(completion)),
      );
      return;
    }
    const charge = await this.queue.charge(
      {
        team: completion.caller.team,
        class: completion.class,
        tokens: countPromptTokens(completion.prompt) + completion.maxTokens,
        maxWaitMs: maxQueueWait(
          completion.config,
          pool.value,
          completion.caller.team.id,
          completion.class,
        ),
        retry: completion.policy.retry,
      },
      completion.signal,
    );
    if (charge.isErr()) {
      yield { type: 'refused', refusal: charge.error };
      return;
    }
    yield* this.serveCharged(completion, pool.value, charge.value, acceptedAt);
  }

  private retriesOf({ caller, model, policy }: ResolvedCompletion): RequestRetries {
    const request = { team: caller.team.id, service: model };
    return new RequestRetries(this.options, request, policy.arrivals);
  }

  private async *serveCharged(
    completion: ResolvedCompletion,
    pool: PoolConfig,
    charge: RateCharge,
    acceptedAt: Millis,
  ): AsyncGenerator<ServingEvent> {
    const progress = progressOf(completion, acceptedAt, this.retriesOf(completion));
    try {
      yield* this.runAttempts(completion, pool, progress);
    } finally {
      const used = chargeableTokens(completion, progress, charge);
      this.options.rates.refund(charge, Math.max(0, charge.tokens - used));
    }
  }

  private async *runAttempts(
    completion: ResolvedCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
  ): AsyncGenerator<ServingEvent> {
    try {
      this.options.crashGuard.recordArrival(guardedCompletion(completion, progress));
      let attemptsLeft = MAX_COMPLETION_ATTEMPTS;
      while (attemptsLeft > 0) {
        attemptsLeft -= 1;
        const placement = await this.reserveNext(completion, pool, progress);
        if (placement.isErr()) {
          yield {
            type: 'refused',
            refusal: completionRefusal(completion, progress, placement.error),
          };
          return;
        }
        const outcome = yield* this.runAttempt(completion, pool, progress, placement.value);
        if (outcome.type !== 'failed') {
          if (outcome.type === 'done' || isSuccessStatus(outcome.head.status)) {
            this.options.crashGuard.recordSuccess(guardedCompletion(completion, progress));
          }
          yield finalEvent(outcome, progress);
          return;
        }
        const refusal = this.refusalAfter(completion, pool, progress, outcome);
        if (refusal !== undefined) {
          yield { type: 'refused', refusal: completionRefusal(completion, progress, refusal) };
          return;
        }
      }
      yield { type: 'refused', refusal: completionRefusal(completion, progress, enginesFailed()) };
    } finally {
      this.options.crashGuard.recordEnd(completion);
    }
  }

  /** Reserves engines for the next attempt, unless the request has been quarantined, also while it waits. */
  private async reserveNext(
    completion: ResolvedCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
  ): Promise<Result<EnginePlacement, Refusal>> {
    const { crashGuard, placements } = this.options;
    const request = guardedCompletion(completion, progress);
    const quarantined = crashGuard.refusalFor(request);
    if (quarantined !== undefined) return err(quarantined);
    const isRetry = progress.getAvoidedEngines().length > 0;
    if (isRetry && crashGuard.guardFor(request).isBlocked()) return err(enginesFailed());
    const placement = await this.reserve(completion, pool, progress);
    if (placement.isErr()) return placement;
    const quarantinedSince = crashGuard.refusalFor(request);
    if (quarantinedSince !== undefined) {
      releaseInBackground(placements, pool.model, placement.value.reservation, 'caller_gone');
      return err(quarantinedSince);
    }
    const { prefill, decode, reservation } = placement.value;
    if (prefill !== undefined && !progress.retries.tryPrefill(prefill)) {
      releaseInBackground(placements, pool.model, reservation, 'caller_gone');
      return err(budgetSpent());
    }
    const engines = [prefill, decode].filter((engine) => engine !== undefined);
    if (!isRetry) progress.retries.recordAttempt(engines);
    return placement;
  }

  /** Decides whether another attempt follows a failed one; gets the refusal if none does. */
  private refusalAfter(
    completion: ResolvedCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
    outcome: FailedAttempt,
  ): Refusal | undefined {
    progress.recordFailure(outcome.engine, outcome.error);
    this.options.crashGuard.recordFailure(
      guardedCompletion(completion, progress),
      outcome.engine,
      outcome.error,
    );
    if (attemptMayHaveExecuted(completion, outcome)) {
      progress.recordExecution();
      completion.policy.executions?.record();
    }
    if (completion.signal.aborted) return enginesFailed();
    if (progress.getExecutionCount() >= completion.policy.maxExecutions) return enginesFailed();
    const now = this.options.clock.now();
    const plan = planResume(
      {
        idempotent: completion.policy.resumable || progress.getExecutionCount() === 0,
        promptTokens: progress.promptTokens,
        deliveredTokens: progress.getNextPosition(),
        maxOutputTokens: completion.maxTokens,
        maxPauseMs: MAX_RESUME_PAUSE_MS,
        kv: undefined,
      },
      {
        prefillWaitMs: 0,
        prefillTokensPerMs: MIN_PREFILL_TOKENS_PER_MS,
        transferMs: (piecesFor(progress.promptTokens) / pool.linkPiecesPerSecond) * MS_PER_SECOND,
        mayRetry: () => progress.retries.tryRun(outcome.engine),
      },
      now,
    );
    if (plan.type !== 'end') {
      this.options.metrics.count('attempt.resumed');
      return undefined;
    }
    return plan.reason === 'budget_spent' ? budgetSpent() : enginesFailed();
  }

  private async *runAttempt(
    completion: ResolvedCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
    placement: EnginePlacement,
  ): AsyncGenerator<ServingEvent, AttemptOutcome> {
    progress.recordDispatch(this.options.clock.now());
    const attempt = new CompletionAttempt(this.options, {
      pool,
      placement,
      identity: {
        request: completion.id,
        holder: this.options.self,
        team: completion.caller.team.id,
      },
      prompt: completion.prompt,
      prefixes: promptPrefixes(completion.prompt),
      deliveredText: progress.getDeliveredText(),
      ...progress.getResumePoint(),
      maxTokens: completion.maxTokens,
      limits: streamLimits(completion.policy),
      guard: this.options.crashGuard.guardFor(guardedCompletion(completion, progress)),
      retries: progress.retries,
    });
    const events = attempt.run(completion.signal);
    try {
      let next = await events.next();
      while (next.done !== true) {
        this.recordEvent(completion, progress, next.value);
        yield next.value;
        next = await events.next();
      }
      return next.value;
    } finally {
      // Also reached when the consumer stops reading; the attempt must be ended then too.
      await events.return(UNREAD_OUTCOME);
    }
  }

  private recordEvent(
    completion: ResolvedCompletion,
    progress: CompletionProgress,
    event: AttemptEvent,
  ): void {
    if (event.type === 'head') {
      progress.recordHead();
      return;
    }
    if (!progress.hasDelivered()) {
      const ttft = this.options.clock.now() - progress.startedAt;
      this.options.metrics.timing('request.ttft', ttft, { class: completion.class });
    }
    if (event.type === 'token') progress.recordToken(event.text);
    else {
      progress.recordVersion(event.softwareVersion);
      progress.recordForwardedEvent(event.position);
    }
  }

  private reserve(
    completion: ResolvedCompletion,
    pool: PoolConfig,
    progress: CompletionProgress,
  ): Promise<Result<EnginePlacement, Refusal>> {
    const { caller } = completion;
    const item: WorkItem = {
      request: completion.id,
      holder: this.options.self,
      team: caller.team.id,
      weight: caller.team.weight,
      class: completion.class,
      promptTokens: progress.promptTokens + progress.getNextPosition(),
      maxOutputTokens: Math.max(1, completion.maxTokens - progress.getNextPosition()),
      prefixes: promptPrefixes(completion.prompt),
      maxWaitMs:
        completion.policy.maxWaitMs ??
        maxQueueWait(completion.config, pool, caller.team.id, completion.class),
      avoid: progress.getAvoidedEngines(),
      expectedOutputTokens: completion.policy.expectedTokens,
      onTimeMs: completion.policy.onTimeMs,
      longestPauseMs: completion.policy.longestPauseMs,
      priority: completion.policy.priority,
      callerTimes: completion.policy.callerTimes,
      binding: progress.getBinding(),
      isPromptRead: progress.retries.isPromptRead(),
    };
    return this.options.placements.reserve(pool.model, item, completion.signal);
  }

  private poolFor(completion: ResolvedCompletion): Result<PoolConfig, Refusal> {
    const { caller, model } = completion;
    const pool = this.options.directory.getPool(model);
    if (pool === undefined) return err(notRun('unknown_model', 'No pool serves this model.'));
    const allowed = caller.team.models.length === 0 || caller.team.models.includes(model);
    if (!allowed) return err(notRun('model_not_allowed', 'The team may not use this model.'));
    if (countPromptTokens(completion.prompt) + completion.maxTokens > pool.maxTokens) {
      return err(
        notRun(
          'prompt_too_long',
          `Prompt and output together exceed the model's ${pool.maxTokens} tokens.`,
        ),
      );
    }
    return ok(pool);
  }
}
