import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';

/** A KV cache that an engine can still export. */
export interface ExportedKv {
  readonly engine: UpstreamId;
  /** When it is evicted at the latest known. */
  readonly availableUntil: Millis;
  /** Time to move it to another decode engine. */
  readonly transferMs: Millis;
}

/** A stream that broke before its end. */
export interface BrokenStream {
  readonly idempotent: boolean;
  readonly promptTokens: Tokens;
  /** Tokens that were passed on to the caller: the position at which to go on. */
  readonly deliveredTokens: Tokens;
  readonly maxOutputTokens: Tokens;
  /** Longest silence that the caller's connection is given, counted from now. */
  readonly patienceMs: Millis;
  /** KV cache of the prompt and of all tokens delivered, where an engine still has it. */
  readonly kv: ExportedKv | undefined;
}

/** What the pool can do now. */
export interface ResumeMeans {
  /** Time until a prefill engine can begin. */
  readonly prefillWaitMs: Millis;
  /** Speed of prefill, in tokens a millisecond. */
  readonly prefillRate: number;
  readonly transferMs: Millis;
  /** Whether the retry budgets allow another attempt; asked only where one would pay. */
  readonly mayRetry: () => boolean;
}

/** How a broken stream goes on, or why it ends. */
export type ResumePlan =
  | { readonly type: 'import_kv'; readonly source: UpstreamId; readonly fromPosition: Tokens }
  | {
      readonly type: 'prefill_again';
      /** Prompt plus the tokens delivered, to be run as one prompt. */
      readonly tokens: Tokens;
      readonly fromPosition: Tokens;
    }
  | {
      readonly type: 'end';
      readonly reason: 'not_idempotent' | 'complete' | 'too_late' | 'budget_spent';
    };

/** Spare time before an eviction below which an export is not begun: half a hop's jitter each way. */
const EVICTION_MARGIN_MS = 20;

/**
 * Decides how a broken stream goes on at the exact token where it stopped.
 *
 * Made for an engine that dies or overheats with twenty streams on it. Ending them all makes every
 * caller send the whole prompt again; repeating them blindly floods the prefill engines. An exported
 * KV cache costs only a transfer, so it is taken whenever it will still be there. Running the prompt
 * and the delivered tokens again costs one prefill, against a prefill and all delivered tokens
 * decoded again if the caller repeats: it pays whenever the caller is still there when it is over.
 * A non-idempotent call is never sent a second time, whatever was lost.
 *
 * @param broken - The stream.
 * @param means - What the pool can do now.
 * @param now - Present time.
 */
export function planResume(broken: BrokenStream, means: ResumeMeans, now: Millis): ResumePlan {
  if (!broken.idempotent) return { type: 'end', reason: 'not_idempotent' };
  const fromPosition = broken.deliveredTokens;
  if (fromPosition >= broken.maxOutputTokens) return { type: 'end', reason: 'complete' };
  const { kv } = broken;
  const tokens = broken.promptTokens + fromPosition;
  const againMs = means.prefillWaitMs + tokens / means.prefillRate + means.transferMs;
  const importable = kv !== undefined && canImport(kv, broken.patienceMs, now);
  if (!importable && againMs > broken.patienceMs) return { type: 'end', reason: 'too_late' };
  if (!means.mayRetry()) return { type: 'end', reason: 'budget_spent' };
  return importable
    ? { type: 'import_kv', source: kv.engine, fromPosition }
    : { type: 'prefill_again', tokens, fromPosition };
}

function canImport(kv: ExportedKv, patienceMs: Millis, now: Millis): boolean {
  return now + EVICTION_MARGIN_MS < kv.availableUntil && kv.transferMs <= patienceMs;
}
