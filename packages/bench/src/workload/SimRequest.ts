import type { HostId, Millis, RequestId, TeamId, Tokens, WorkClass } from '@camphorvane/core';
import type { PromptPrefix } from '@camphorvane/decisions';

/** One request of a workload, with what no policy but the oracle may look at. */
export interface SimRequest {
  readonly id: RequestId;
  readonly host: HostId;
  readonly team: TeamId;
  readonly weight: number;
  readonly class: WorkClass;
  readonly arrivesAt: Millis;
  readonly promptTokens: Tokens;
  readonly maxOutputTokens: Tokens;
  readonly prefixes: readonly PromptPrefix[];
  readonly maxWaitMs: Millis;
  /**
   * Target for the first token: the pool's for lookups; for what may wait, its bound in the queue
   * and the pool's target together.
   */
  readonly firstTokenLimitMs: Millis;
  /** Tokens that the answer has; known to engines and to the oracle only. */
  readonly outputTokens: Tokens;
  /** Whether an all-knowing bucket over the whole fleet admits it. */
  readonly withinRate: boolean;
}
