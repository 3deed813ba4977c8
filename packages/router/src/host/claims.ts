import type { AttemptId, Refusal, ServiceId, TeamId } from '@camphorvane/core';
import type { ServiceAnswer } from '@camphorvane/upstream';

/** What a claim is for: one Idempotency-Key of one team at one service. */
export interface ClaimSubject {
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly idempotencyKey: string;
  /** Digest of method, path and body; another body under the same key is a mistake. */
  readonly requestDigest: string;
  readonly attempt: AttemptId;
}

/** How a claim went. */
export type ClaimOutcome =
  | { readonly type: 'claimed' }
  | { readonly type: 'replay'; readonly answer: ServiceAnswer }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Lets a call that must not repeat run at most once, whichever hosts its caller tries. */
export interface ClaimBook {
  /** Claims the right to run a call, before it is dispatched. */
  claim(subject: ClaimSubject): Promise<ClaimOutcome>;

  /** Records the answer of a claimed call. */
  finish(subject: ClaimSubject, answer: ServiceAnswer): Promise<void>;

  /** Gives a claim back, only where the call was surely not dispatched. */
  abandon(subject: ClaimSubject): Promise<void>;
}
