import type { AttemptId, HostId, Incarnation, Millis, ServiceId, TeamId } from '@camphorvane/core';
import type { ObjectVersion } from '../ObjectStore.ts';

/** A call that must run at most once, and the attempt that would dispatch it. */
export interface ClaimRequest {
  readonly team: TeamId;
  readonly service: ServiceId;
  /** Method and path of the route. */
  readonly route: string;
  /** The caller's Idempotency-Key. */
  readonly key: string;
  /** Digest of all that the upstream would receive; the same key with another digest is an error. */
  readonly requestDigest: string;
  /** Unique to this call of `claim`; identifies the own claim when a response of the store is lost. */
  readonly attempt: AttemptId;
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** A granted claim: only its holder may dispatch the call, once. */
export interface Claim {
  /** Name of the stored object. */
  readonly name: string;
  readonly version: ObjectVersion;
  readonly request: ClaimRequest;
  /** Wall clock time. */
  readonly claimedAt: Millis;
}

/** A stored response, replayed to a caller that sends the call again. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The holder of a conflicting claim. */
export interface ClaimHolder {
  readonly attempt: AttemptId;
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** The result of a claim. */
export type ClaimOutcome =
  | { readonly type: 'claimed'; readonly claim: Claim }
  /** Another attempt may still be running. */
  | { readonly type: 'in_use'; readonly holder: ClaimHolder }
  /** The holder is gone without storing an outcome: the call may have run and is never retried. */
  | { readonly type: 'outcome_unknown'; readonly holder: ClaimHolder }
  /** The call has run; `answer` is absent where the response was too large to store. */
  | { readonly type: 'finished'; readonly answer?: StoredResponse }
  /** The key was used for another request. */
  | { readonly type: 'mismatch' }
  /** The platform was unavailable; this attempt dispatched nothing. */
  | { readonly type: 'unavailable'; readonly retryAfterMs: Millis };

/** Known state of the host that holds a claim. */
export type ClaimHolderState = 'live' | 'gone' | 'unknown';
