import type {
  AdoptedReservation,
  CrashReport,
  EngineObservation,
  ReservationEnd,
  WorkItem,
} from '@camphorvane/decisions';
import type {
  HostId,
  Incarnation,
  ModelId,
  Refusal,
  RequestId,
  ReservationId,
  TeamId,
  Tokens,
  UpstreamId,
} from '@camphorvane/core';
import type { Hello, ShareReply, ShareSync, Welcome } from '@camphorvane/group';
import type { StoredObject } from '@camphorvane/store';
import type { ResultAsync } from 'neverthrow';

/** Where a peer listens. */
export interface PeerAddress {
  readonly host: HostId;
  /** `ip:port`. */
  readonly address: string;
}

/** Who sent a message; checked by the receiver against the epoch that it knows. */
export interface PeerSender {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Version of the protocol that the sender speaks. */
  readonly protocol: number;
}

/** A place that the steward reserved. */
export interface Placement {
  readonly reservation: ReservationId;
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  readonly pieces: number;
  readonly priority: number;
  /** Milliseconds for which the reservation holds without a renewal. */
  readonly ttlMs: number;
  readonly expectedCachedTokens: number;
}

/** What one host asks of another. */
export type PeerRequest =
  | { readonly type: 'reserve'; readonly model: ModelId; readonly item: WorkItem }
  | { readonly type: 'crashes'; readonly reports: readonly CrashReport[] }
  | { readonly type: 'config_version' }
  | { readonly type: 'config_root' }
  | { readonly type: 'config_chunk'; readonly digest: string }
  | { readonly type: 'withdraw'; readonly model: ModelId; readonly request: RequestId }
  | {
      readonly type: 'renew';
      readonly model: ModelId;
      readonly held: readonly AdoptedReservation[];
    }
  | { readonly type: 'prefill_ended'; readonly model: ModelId; readonly reservation: ReservationId }
  | {
      readonly type: 'release';
      readonly model: ModelId;
      readonly reservation: ReservationId;
      readonly end: ReservationEnd;
    }
  | {
      readonly type: 'observe';
      readonly model: ModelId;
      readonly observations: readonly EngineObservation[];
    }
  | { readonly type: 'share_sync'; readonly message: ShareSync }
  /** Asks a holder for tokens of a team, for one request that waits. */
  | { readonly type: 'share_borrow'; readonly team: TeamId; readonly tokens: Tokens }
  /** Asks a holder to report some teams to the asking steward at once. */
  | { readonly type: 'share_nudge'; readonly teams: readonly TeamId[] }
  | { readonly type: 'membership'; readonly message: Hello };

/** What the other host answers. */
export type PeerResponse =
  | { readonly type: 'placed'; readonly placement: Placement }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  /** The request still waits; its holder asks again, which also shows that the holder lives. */
  | { readonly type: 'waiting' }
  | { readonly type: 'config_version'; readonly version: number }
  | { readonly type: 'config_root'; readonly object?: StoredObject }
  | { readonly type: 'config_chunk'; readonly text?: string }
  | { readonly type: 'renewed'; readonly lost: readonly ReservationId[] }
  | { readonly type: 'ok' }
  | { readonly type: 'not_steward'; readonly epoch: number }
  | { readonly type: 'share_lent'; readonly tokens: Tokens }
  | { readonly type: 'share_reply'; readonly message: ShareReply }
  | { readonly type: 'membership'; readonly message: Welcome };

/** Why a peer gave no answer. */
export type PeerError =
  | { readonly type: 'unreachable'; readonly message: string }
  | { readonly type: 'timeout'; readonly message: string }
  | { readonly type: 'rejected'; readonly message: string };

/** Sends requests to other hosts: gRPC in a running host, in memory in a scenario. */
export interface PeerLink {
  /**
   * Asks a peer.
   *
   * @param to - The peer.
   * @param req - What is asked.
   * @param timeoutMs - Milliseconds after which the call ends with `timeout`.
   * @returns The answer, or why there is none; the peer may have acted all the same.
   */
  ask(to: PeerAddress, req: PeerRequest, timeoutMs: number): ResultAsync<PeerResponse, PeerError>;
}

/** Answers what other hosts ask. */
export interface PeerHandler {
  /**
   * Answers one request.
   *
   * @param from - The sender, authenticated by the link.
   * @param req - What is asked.
   * @returns The answer.
   */
  answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse>;
}
