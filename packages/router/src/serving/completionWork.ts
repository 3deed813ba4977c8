import type { CompletionEvent } from '@camphorvane/caller';
import type {
  Millis,
  ModelId,
  PoolConfig,
  Prompt,
  RequestId,
  RoutingConfig,
  Tokens,
  UpstreamId,
  WorkClass,
} from '@camphorvane/core';
import type { AnswerHead } from '@camphorvane/upstream';
import type { AuthenticatedCaller } from '../host/Authenticator.ts';
import type { RateCharge, RepeatTarget } from '../host/ports.ts';
import type { AttemptOutcome, FailedAttempt } from './completionAttemptPlan.ts';
import type { CompletionProgress } from './CompletionProgress.ts';
import { CrashGuard } from './CrashGuard.ts';

/** Attempts for one completion; more would let one bad prompt visit every engine. */
export const MAX_ATTEMPTS = 4;

/** How often and where a completion may run, and how long it may wait. */
export interface CompletionTerms {
  /** Most engines that may begin to give output. */
  readonly maxRuns: number;
  /** Whether a stream may go on at another engine after one may have begun it. */
  readonly resumable: boolean;
  /** Position of the first token to deliver; above 0 where the caller goes on itself. */
  readonly fromPosition: number;
  /** Output that is expected, in tokens; absent where nothing but the maximum is known. */
  readonly expectedTokens?: Tokens;
  /** Longest wait for engines, in milliseconds; absent where the rules of the pool say it. */
  readonly maxWaitMs?: Millis;
  /** Milliseconds of waiting after which the first token is late; absent where it never is. */
  readonly onTimeMs?: Millis;
  /** Longest pause between events that is on time, in milliseconds; absent: any. */
  readonly longestPauseMs?: Millis;
  /** Rank that the operators gave; lower goes first. */
  readonly priority?: number;
}

/** Terms of our own interface: its answers are resumed at the exact token, so all may repeat. */
export const TEXT_TERMS: CompletionTerms = {
  maxRuns: MAX_ATTEMPTS,
  resumable: true,
  fromPosition: 0,
};

/** A completion whose caller is known. */
export interface KnownCompletion {
  readonly id: RequestId;
  readonly model: ModelId;
  readonly prompt: Prompt;
  readonly maxTokens: Tokens;
  readonly class: WorkClass;
  readonly caller: AuthenticatedCaller;
  readonly config: RoutingConfig;
  readonly terms: CompletionTerms;
  /** Aborted when the caller has gone, or with a refusal as reason when the host ends it. */
  readonly signal: AbortSignal;
}

/** What happens to a completion: what callers of our own interface get, and what is passed on. */
export type ServingEvent =
  | CompletionEvent
  | { readonly type: 'head'; readonly head: AnswerHead }
  | { readonly type: 'piece'; readonly position: number; readonly bytes: Uint8Array }
  | { readonly type: 'answer'; readonly head: AnswerHead; readonly body: Uint8Array };

/** A call that is passed on has not run while its prompt was only read; text was given away then. */
export function wasGivenAway(work: KnownCompletion, progress: CompletionProgress): boolean {
  return typeof work.prompt === 'string' ? progress.wasDispatched() : progress.getRuns() > 0;
}

export function mayHaveRun(work: KnownCompletion, { stage, error }: FailedAttempt): boolean {
  return error.dispatched && (stage === 'decode' || typeof work.prompt === 'string');
}

/** What was dispatched cost its prompt; output that was never made is given back. */
export function usedTokens(
  work: KnownCompletion,
  progress: CompletionProgress,
  charge: RateCharge,
): Tokens {
  if (typeof work.prompt === 'string') return progress.getUsedTokens();
  // A call that is passed on counts as a whole at the engine that begins it.
  return progress.mayHaveBegun() ? charge.tokens : 0;
}

export function repeatTarget(
  work: KnownCompletion,
  pool: PoolConfig,
  upstream: UpstreamId,
): RepeatTarget {
  return { team: work.caller.team.id, service: pool.model, upstream };
}

export function digestOf({ model, prompt, caller }: KnownCompletion): string {
  if (typeof prompt === 'string') return CrashGuard.digestOf(model, prompt);
  const { path, body } = prompt.call;
  return CrashGuard.digestOf(caller.team.id, path, Buffer.from(body).toString('base64'));
}

export function endEvent(
  outcome: Exclude<AttemptOutcome, FailedAttempt>,
  progress: CompletionProgress,
): ServingEvent {
  progress.noteAnswered();
  if (outcome.type === 'answered') {
    return { type: 'answer', head: outcome.head, body: outcome.body };
  }
  return {
    type: 'done',
    reason: outcome.reason,
    promptTokens: outcome.prefill?.promptTokens ?? progress.promptTokens,
    cachedTokens: outcome.prefill?.cachedTokens ?? 0,
    outputTokens: progress.getPosition(),
  };
}
