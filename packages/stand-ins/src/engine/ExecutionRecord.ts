import type { AttemptId, Millis, Tokens, UpstreamId } from '@camphorvane/core';

/** One thing that a stand-in upstream really started, kept so that tests can prove what ran. */
export interface ExecutionRecord {
  readonly upstream: UpstreamId;
  readonly kind: 'prefill' | 'transfer' | 'decode' | 'call';
  readonly attempt: AttemptId;
  /** Prompt, or method, path and body of a call. */
  readonly text: string;
  readonly at: Millis;
  /** Everything that came with the request beside its text, as the upstream saw it. */
  readonly headers: Readonly<Record<string, string>>;
  /** Tokens of the prompt that were computed; 0 where nothing was. */
  readonly computedTokens: Tokens;
}
