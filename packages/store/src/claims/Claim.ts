import type { AttemptId, HostId, Incarnation, Millis, ServiceId, TeamId } from '@camphorvane/core';
import type { ObjectVersion } from '../ObjectStore.ts';

/** What a caller wants to run at most once, and the attempt that would run it. */
export interface ClaimRequest {
  readonly team: TeamId;
  readonly service: ServiceId;
  /** Method and path of the route. */
  readonly route: string;
  /** The caller's Idempotency-Key. */
  readonly key: string;
  /** Digest of all that the upstream would get; the same key with another one is a mistake. */
  readonly requestDigest: string;
  /** Unique to this call of `claim`: tells this claim from another's when an answer is lost. */
  readonly attempt: AttemptId;
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** A claim that is held: its holder, and nobody else, may dispatch the call once. */
export interface Claim {
  /** Name of the object. */
  readonly name: string;
  readonly version: ObjectVersion;
  readonly request: ClaimRequest;
  readonly claimedAt: Millis;
}

/** An answer that is kept, to be given again to a caller that sends again. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Who holds a claim that is in the way. */
export interface ClaimHolder {
  readonly attempt: AttemptId;
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** What became of a claim. */
export type ClaimOutcome =
  | { readonly type: 'claimed'; readonly claim: Claim }
  /** Another attempt may be running. */
  | { readonly type: 'in_use'; readonly holder: ClaimHolder }
  /** The holder is gone without a word: the call may have run, and never will again. */
  | { readonly type: 'outcome_unknown'; readonly holder: ClaimHolder }
  /** The call has run; the answer is absent where it was too large to keep. */
  | { readonly type: 'finished'; readonly answer?: KeptAnswer }
  /** The key was used for another request. */
  | { readonly type: 'mismatch' }
  /** The platform could not tell; nothing was dispatched by this attempt. */
  | { readonly type: 'unavailable'; readonly retryAfterMs: Millis };

/** What is known of a host that holds a claim. */
export type HolderState = 'live' | 'gone' | 'unknown';
