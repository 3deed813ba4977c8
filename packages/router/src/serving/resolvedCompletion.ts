import type { CompletionEvent } from '@camphorvane/caller';
import type {
  Millis,
  ModelId,
  Prompt,
  RequestId,
  RoutingConfig,
  Tokens,
  WorkClass,
} from '@camphorvane/core';
import { countPromptTokens } from '@camphorvane/core';
import type {
  CallerTimes,
  RequestArrivals,
  RetryContext,
  StreamBinding,
} from '@camphorvane/decisions';
import type { UpstreamResponseHead } from '@camphorvane/upstream';
import type { AuthenticatedCaller } from '../host/Authenticator.ts';
import type { RateCharge } from '../host/ports.ts';
import type {
  AttemptEvent,
  AttemptOutcome,
  FailedAttempt,
  StreamLimits,
} from './completionAttemptPlan.ts';
import { CompletionProgress } from './CompletionProgress.ts';
import type { ExecutionCount } from './ExecutionCount.ts';
import { CrashGuard } from './CrashGuard.ts';
import type { GuardedRequest } from './CrashGuard.ts';
import { sharedTraitsOf } from './requestTraits.ts';
import type { RequestRetries } from './RequestRetries.ts';

/** Attempts for one completion; with more, one bad prompt could reach every engine. */
export const MAX_COMPLETION_ATTEMPTS = 4;

/** Limits on the attempts and waits of one completion, and its scheduling hints. */
export interface CompletionPolicy {
  /** Most engines that may start to generate output. */
  readonly maxExecutions: number;
  /** Whether another engine may resume a stream that a failed engine may have started. */
  readonly resumable: boolean;
  /** Position of the first token to deliver; above 0 where the caller resumes a broken stream. */
  readonly fromPosition: number;
  /** Expected tokens of output; absent where only the maximum is known. */
  readonly expectedTokens?: Tokens;
  /** Longest wait for engines, in milliseconds; absent where the wait rules apply. */
  readonly maxWaitMs?: Millis;
  /** Milliseconds of waiting after which the first token misses its target; absent without a target. */
  readonly onTimeMs?: Millis;
  /** Longest pause between two events, in milliseconds; absent where it is not limited. */
  readonly longestPauseMs?: Millis;
  /** Priority from the configuration; lower goes first. */
  readonly priority?: number;
  /** What is known of the caller's wait; absent where nothing is. */
  readonly callerTimes?: CallerTimes;
  /** What schedules the retry of a refused request; absent where its caller declares nothing. */
  readonly retry?: RetryContext;
  /** Whether the request is charged to its team already, by the host that passed it on. */
  readonly isCharged?: boolean;
  /** Counts the upstreams that may have run the request; absent where nobody asks for it. */
  readonly executions?: ExecutionCount;
  /** Arrivals of the request at upstreams; absent where no other host may have sent it. */
  readonly arrivals?: RequestArrivals;
  /** Whether an engine may have run it for another host, which passed it on or was lost. */
  readonly hasRunElsewhere?: boolean;
  /** Which engines may go on with the stream; any where absent. */
  readonly binding?: StreamBinding;
}

/** Policy of the native API, which resumes every stream at the exact token. */
export const NATIVE_COMPLETION_POLICY: CompletionPolicy = {
  maxExecutions: MAX_COMPLETION_ATTEMPTS,
  resumable: true,
  fromPosition: 0,
};

/** A completion whose caller is authenticated. */
export interface ResolvedCompletion {
  readonly id: RequestId;
  readonly model: ModelId;
  readonly prompt: Prompt;
  readonly maxTokens: Tokens;
  readonly class: WorkClass;
  readonly caller: AuthenticatedCaller;
  readonly config: RoutingConfig;
  readonly policy: CompletionPolicy;
  /** Aborted when the caller disconnects, or with a refusal as reason when the host ends the request. */
  readonly signal: AbortSignal;
}

/** An event of a completion: of the native API, or of a forwarded call. */
export type ServingEvent =
  | CompletionEvent
  | { readonly type: 'head'; readonly head: UpstreamResponseHead }
  | Extract<AttemptEvent, { readonly type: 'piece' }>
  | { readonly type: 'answer'; readonly head: UpstreamResponseHead; readonly body: Uint8Array };

/**
 * Tells whether a completion may have been executed, so that a refusal must not say `not_run`.
 *
 * A native text prompt counts as executed once dispatched, a forwarded call once its decode may have started.
 */
export function mayHaveExecuted(
  completion: ResolvedCompletion,
  progress: CompletionProgress,
): boolean {
  return typeof completion.prompt === 'string'
    ? progress.wasDispatched()
    : progress.getExecutionCount() > 0;
}

/** Tells whether a failed attempt counts as an execution: see `mayHaveExecuted`. */
export function attemptMayHaveExecuted(
  completion: ResolvedCompletion,
  { stage, error }: FailedAttempt,
): boolean {
  return error.dispatched && (stage === 'decode' || typeof completion.prompt === 'string');
}

/**
 * Gets the tokens to charge: for native text the prompt and the delivered output; for a forwarded call all
 * tokens charged in advance once an engine may have started it, else none.
 */
export function chargeableTokens(
  completion: ResolvedCompletion,
  progress: CompletionProgress,
  charge: RateCharge,
): Tokens {
  if (typeof completion.prompt === 'string') return progress.getChargeableTokens();
  return progress.mayHaveStarted() ? charge.tokens : 0;
}

export function streamLimits(policy: CompletionPolicy): StreamLimits {
  const { expectedTokens, longestPauseMs, resumable: isResumable } = policy;
  return { expectedTokens, longestPauseMs, isResumable };
}

/** Gets the digest of a completion's content, which is the same for each retry of its caller. */
function completionDigest({ model, prompt, caller }: ResolvedCompletion): string {
  if (typeof prompt === 'string') return CrashGuard.digestOf(model, prompt);
  const { path, body } = prompt.call;
  return CrashGuard.digestOf(caller.team.id, path, Buffer.from(body).toString('base64'));
}

/**
 * Gets the progress of a completion that was accepted a moment ago.
 *
 * @param completion - The completion.
 * @param acceptedAt - When it was accepted.
 * @param retries - Charges its retries.
 */
export function progressOf(
  completion: ResolvedCompletion,
  acceptedAt: Millis,
  retries: RequestRetries,
): CompletionProgress {
  return new CompletionProgress(
    countPromptTokens(completion.prompt),
    acceptedAt,
    {
      digest: completionDigest(completion),
      shared: sharedTraitsOf(completion.model, completion.prompt),
    },
    completion.policy,
    retries,
  );
}

/** Gets what identifies a completion and its repeats where crashes are counted. */
export function guardedCompletion(
  { id }: ResolvedCompletion,
  progress: CompletionProgress,
): GuardedRequest {
  return { id, ...progress.traits, sentAt: progress.getSentAt() };
}

export function finalEvent(
  outcome: Exclude<AttemptOutcome, FailedAttempt>,
  progress: CompletionProgress,
): ServingEvent {
  progress.recordAnswer();
  if (outcome.type === 'answered') {
    return { type: 'answer', head: outcome.head, body: outcome.body };
  }
  return {
    type: 'done',
    reason: outcome.reason,
    promptTokens: outcome.prefill?.promptTokens ?? progress.promptTokens,
    cachedTokens: outcome.prefill?.cachedTokens ?? 0,
    outputTokens: progress.getNextPosition(),
  };
}
