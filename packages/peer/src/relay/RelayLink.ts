import type {
  HostId,
  Millis,
  PromptPart,
  Refusal,
  RequestId,
  ServiceId,
  SoftwareVersion,
  Tokens,
} from '@camphorvane/core';
import type { EarlierArrivals, StreamBinding } from '@camphorvane/decisions';

/** A caller's request as the host received it. */
export interface RelayedCall {
  readonly key: string | undefined;
  /** Host name of the request. */
  readonly host: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** Only headers that are forwarded to an upstream; lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Position after which the stream goes on; absent from its beginning. */
  readonly lastPosition?: number;
  /** Id of the attempt that brought the first event of the stream which is taken up; undefined for none. */
  readonly resumes?: RequestId;
  /** Undefined where the caller declared no work. */
  readonly work:
    | {
        readonly promptTokens: Tokens;
        readonly maxTokens: Tokens;
        readonly expectedOutputTokens?: Tokens;
        readonly parts: readonly PromptPart[];
      }
    | undefined;
}

/** What the host that received a request tells the peer that is to serve it. */
export interface RelayContext {
  /** The host that received the request. */
  readonly from: HostId;
  /** Milliseconds until the deadline of the request. */
  readonly leftMs: Millis;
  /** Estimated milliseconds since the caller's first attempt at the request. */
  readonly ageMs: Millis;
  /** The service or pool that the sender has chosen among the targets of the route; absent from an earlier program. */
  readonly service?: ServiceId;
  /** Upstreams that may have run the request already. */
  readonly executions: number;
  /** Whether the request is charged to its team already. */
  readonly isCharged: boolean;
  /** Version of the sender's configuration, which the peer's must not be older than; absent from an earlier program. */
  readonly configVersion?: number;
  /**
   * Present for a stream that may go on at another engine: the engines that may run it. A peer that does not know
   * this field must not serve such a stream.
   */
  readonly binding?: StreamBinding;
  /** Arrivals of the request at upstreams, which are charged with the next run; absent where there are none. */
  readonly arrivals?: EarlierArrivals;
}

/** A request that a host passes on to a peer, since it does not reach the upstreams itself. */
export interface RelayedRequest {
  readonly id: RequestId;
  readonly call: RelayedCall;
  readonly context: RelayContext;
}

/** An event of a relayed request; the last one is `done` or `refused`. */
export type RelayEvent =
  | {
      readonly type: 'head';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      readonly endsWithConnection?: boolean;
      /** Size of the body; absent where it is not known before its end, and from an earlier program. */
      readonly bodyBytes?: number;
    }
  | {
      readonly type: 'data';
      readonly bytes: Uint8Array;
      /** Position of the stream's event, after which it can go on; absent for other responses. */
      readonly position?: number;
      /** Software of the engine that brought the event; absent where engines have no versions. */
      readonly softwareVersion?: SoftwareVersion;
    }
  | { readonly type: 'done' }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** How the connection to a peer failed. */
export interface RelayFailure {
  readonly type: 'failed';
  /** Whether the peer may have received the request. */
  readonly dispatched: boolean;
  readonly message: string;
}

/** Passes requests on to peers. */
export interface RelayLink {
  /**
   * Has a peer serve a request.
   *
   * @param address - Address (`ip:port`) of the peer.
   * @param request - The request.
   * @param signal - Aborting it makes the peer end the request.
   * @returns The events; ends after `done`, `refused` or `failed`.
   */
  relay(
    address: string,
    request: RelayedRequest,
    signal: AbortSignal,
  ): AsyncGenerator<RelayEvent | RelayFailure>;
}

/** Serves the requests that peers pass on, which have waited for some milliseconds since they arrived. */
export type RelayHandler = (
  request: RelayedRequest,
  signal: AbortSignal,
  waitedMs?: Millis,
) => AsyncIterable<RelayEvent>;
