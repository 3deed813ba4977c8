import type { AttemptId, Millis, Tokens, UpstreamId } from '@camphorvane/core';

/** A command or call that a stand-in upstream executed, kept so that tests can verify what ran. */
export interface ExecutionRecord {
  readonly upstream: UpstreamId;
  readonly kind: 'prefill' | 'transfer' | 'decode' | 'call';
  readonly attempt: AttemptId;
  /** Prompt of a command; method, path and body of a call. */
  readonly text: string;
  readonly at: Millis;
  /** Headers of a call as the upstream received them; empty for engine commands. */
  readonly headers: Readonly<Record<string, string>>;
  /** Prompt tokens that were computed, excluding cached ones; 0 for all kinds but prefill. */
  readonly computedTokens: Tokens;
}
