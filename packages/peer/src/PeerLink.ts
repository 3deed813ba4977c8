import type {
  AdoptedReservation,
  CrashReport,
  EngineObservation,
  ReservationEnd,
  SuspicionReports,
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

/** The sender of a message, which the receiver checks against its own epoch. */
export interface PeerSender {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Version of the peer protocol that the sender uses. */
  readonly protocol: number;
}

/** A placement that the pool's coordinator reserved. */
export interface Placement {
  readonly reservation: ReservationId;
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  readonly pieces: number;
  readonly priority: number;
  /** Milliseconds after which the reservation expires unless it is renewed. */
  readonly ttlMs: number;
  readonly expectedCachedTokens: number;
}

/** A request from one host to another. */
export type PeerRequest =
  | { readonly type: 'reserve'; readonly model: ModelId; readonly item: WorkItem }
  | {
      readonly type: 'crashes';
      /** Crashes of whole requests. */
      readonly reports: readonly CrashReport[];
      /** What else is reported; absent from hosts of an earlier version, which don't read it either. */
      readonly shared?: SuspicionReports;
    }
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
  /** Borrows tokens of a team from a holder, for one waiting request. */
  | { readonly type: 'share_borrow'; readonly team: TeamId; readonly tokens: Tokens }
  /** Requests a holder to report the named teams to the sending coordinator at once. */
  | { readonly type: 'share_nudge'; readonly teams: readonly TeamId[] }
  | { readonly type: 'membership'; readonly message: Hello };

/** The response to a {@link PeerRequest}. */
export type PeerResponse =
  | { readonly type: 'placed'; readonly placement: Placement }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  /** The request is still queued; its holder retries, which also shows that the holder is alive. */
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

/** Why a call to a peer failed. */
export type PeerError =
  | { readonly type: 'unreachable'; readonly message: string }
  | { readonly type: 'timeout'; readonly message: string }
  | { readonly type: 'rejected'; readonly message: string };

/** Sends requests to other hosts: over gRPC in production, in memory in scenarios. */
export interface PeerLink {
  /**
   * Sends a request to a peer.
   *
   * @param to - The peer.
   * @param req - The request.
   * @param timeoutMs - Milliseconds after which the call ends with `timeout`.
   * @returns The response, or an error; the peer may have executed the request in either case.
   */
  ask(to: PeerAddress, req: PeerRequest, timeoutMs: number): ResultAsync<PeerResponse, PeerError>;
}

/** Handles the requests of other hosts. */
export interface PeerHandler {
  /**
   * Handles one request.
   *
   * @param from - The sender, authenticated by the transport.
   * @param req - The request.
   * @returns The response.
   */
  answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse>;
}
