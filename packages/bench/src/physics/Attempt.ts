import type { Millis, Pieces, Tokens, UpstreamId } from '@camphorvane/core';
import type { SimRequest } from '../workload/SimRequest.ts';

/** How far an attempt has come. */
export type AttemptState =
  | 'prefill_waiting'
  | 'prefill_running'
  | 'transfer_waiting'
  | 'transferring'
  | 'decoding'
  | 'whole'
  | 'lost';

/** One try of a request on a prefill and a decode engine. */
export interface Attempt {
  readonly request: SimRequest;
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  readonly priority: number;
  /** Memory taken on the decode engine from the start of the transfer. */
  readonly pieces: Pieces;
  readonly order: number;
  readonly startedAt: Millis;
  state: AttemptState;
  /** Prompt tokens that were computed, and those found in the prefix cache. */
  computedTokens: Tokens;
  cachedTokens: Tokens;
  /** Prompt tokens still to be computed; undefined before the engine has looked into its cache. */
  remainingTokens: Tokens | undefined;
  producedTokens: Tokens;
  firstTokenAt: Millis | undefined;
  lastTokenAt: Millis | undefined;
}

/** Why an attempt ended without a whole answer. */
export type LossReason = 'evicted' | 'engine_down' | 'cancelled';

/** What the engines tell whoever started an attempt. */
export interface AttemptEvents {
  prefillEnded(attempt: Attempt): void;
  firstToken(attempt: Attempt): void;
  whole(attempt: Attempt): void;
  lost(attempt: Attempt, reason: LossReason): void;
}
