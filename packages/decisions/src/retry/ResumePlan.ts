import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';

/** A KV cache that an engine still holds for export. */
export interface ExportedKv {
  readonly engine: UpstreamId;
  /** Time of its eviction, as last known. */
  readonly availableUntil: Millis;
  /** Milliseconds to transfer it to another decode engine. */
  readonly transferMs: Millis;
}

/** A stream of tokens that was interrupted before its end. */
export interface InterruptedStream {
  readonly idempotent: boolean;
  readonly promptTokens: Tokens;
  /** Tokens delivered to the caller, which is the position to resume at. */
  readonly deliveredTokens: Tokens;
  readonly maxOutputTokens: Tokens;
  /** Longest time from now until the next token, in milliseconds. */
  readonly maxPauseMs: Millis;
  /** KV cache of the prompt and all delivered tokens, if an engine still holds it. */
  readonly kv: ExportedKv | undefined;
}

/** State of the pool and of the retry budget that a plan depends on. */
export interface ResumeContext {
  /** Milliseconds until a prefill engine can start. */
  readonly prefillWaitMs: Millis;
  /** Prefill throughput, in tokens a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Milliseconds to transfer a prefill's result to a decode engine. */
  readonly transferMs: Millis;
  /** Charges the retry budgets and gets whether they allow a retry; called only if one is needed. */
  readonly mayRetry: () => boolean;
}

/** How an interrupted stream is resumed, or why it ends. */
export type ResumePlan =
  | { readonly type: 'import_kv'; readonly source: UpstreamId; readonly fromPosition: Tokens }
  | {
      readonly type: 'prefill_again';
      /** Prompt plus delivered tokens, which are prefilled as one prompt. */
      readonly tokens: Tokens;
      readonly fromPosition: Tokens;
    }
  | {
      readonly type: 'end';
      readonly reason: 'not_idempotent' | 'complete' | 'too_late' | 'budget_spent';
    };

/** Least time left before an eviction to start an export, in ms: half a hop's jitter in each direction. */
const EVICTION_MARGIN_MS = 20;

/**
 * Decides how an interrupted stream is resumed at the exact token where it stopped.
 *
 * An engine that fails or overheats may interrupt twenty streams at once. If all of them end,
 * every caller sends the whole prompt again; if all are retried without a limit, they flood the
 * prefill engines. Importing an exported KV cache costs only a transfer, so it is preferred if the
 * cache lasts long enough. Prefilling prompt and delivered tokens costs one prefill, while a retry by
 * the caller costs a prefill and the decoding of all delivered tokens: it pays if it ends within the
 * caller's time limit. A non-idempotent call is never dispatched twice, whatever was lost.
 *
 * @param stream - The interrupted stream.
 * @param context - State of the pool and of the retry budget.
 * @param now - Present time.
 * @returns How the stream is resumed, or why it ends.
 */
export function planResume(
  stream: InterruptedStream,
  context: ResumeContext,
  now: Millis,
): ResumePlan {
  if (!stream.idempotent) return { type: 'end', reason: 'not_idempotent' };
  const fromPosition = stream.deliveredTokens;
  if (fromPosition >= stream.maxOutputTokens) return { type: 'end', reason: 'complete' };
  const { kv } = stream;
  const tokens = stream.promptTokens + fromPosition;
  const resumeMs = context.prefillWaitMs + tokens / context.prefillTokensPerMs + context.transferMs;
  const canImportKv = kv !== undefined && canImport(kv, stream.maxPauseMs, now);
  if (!canImportKv && resumeMs > stream.maxPauseMs) return { type: 'end', reason: 'too_late' };
  if (!context.mayRetry()) return { type: 'end', reason: 'budget_spent' };
  return canImportKv
    ? { type: 'import_kv', source: kv.engine, fromPosition }
    : { type: 'prefill_again', tokens, fromPosition };
}

function canImport(kv: ExportedKv, maxPauseMs: Millis, now: Millis): boolean {
  return now + EVICTION_MARGIN_MS < kv.availableUntil && kv.transferMs <= maxPauseMs;
}
