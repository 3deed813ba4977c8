import type {
  Millis,
  ModelId,
  PromptPart,
  Refusal,
  RequestId,
  ServiceId,
  Tokens,
  WorkClass,
  SoftwareVersion,
} from '@camphorvane/core';
import type { Result } from 'neverthrow';

/** A host that is recommended to a caller. */
export interface RecommendedHost {
  readonly host: string;
  readonly zone: string;
  /** `ip:port` to connect to. */
  readonly address: string;
}

/** Hosts that a caller should use, best first, and for how many milliseconds it may cache the list. */
export interface HostRecommendation {
  readonly hosts: readonly RecommendedHost[];
  readonly maxAgeMs: number;
}

/** A caller's request for a completion. */
export interface CompletionRequest {
  /** The caller's key; undefined without one. */
  readonly key: string | undefined;
  readonly model: ModelId;
  readonly prompt: string;
  readonly maxTokens: Tokens;
  readonly class: WorkClass;
  /** True where another host forwarded the request; it is not forwarded again. */
  readonly forwardedByHost: boolean;
}

/** An event of a completion; the last one is `done` or `refused`. */
export type CompletionEvent =
  | { readonly type: 'token'; readonly position: number; readonly text: string }
  | {
      readonly type: 'done';
      readonly reason: 'stop' | 'length';
      readonly promptTokens: Tokens;
      readonly cachedTokens: Tokens;
      readonly outputTokens: Tokens;
    }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** A caller's call to a plain service. */
export interface ServiceRequest {
  readonly key: string | undefined;
  readonly service: ServiceId;
  readonly method: string;
  /** Path and query below the service, with a leading slash. */
  readonly path: string;
  /** Only headers that are forwarded to an upstream. */
  readonly headers: Readonly<Record<string, string>>;
  readonly idempotencyKey: string | undefined;
  readonly body: Uint8Array;
  readonly forwardedByHost: boolean;
}

/** The complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** What follows `body`, read from the server as it is asked for; absent where `body` is complete. */
  readonly rest?: AsyncGenerator<Uint8Array>;
  /** Size of `body` and `rest`, in bytes; absent where the server declared none. */
  readonly bodyBytes?: number;
  /** Returns the buffers of the response; called once it has been delivered or dropped. */
  readonly release?: () => void;
  /** True where only the close of the server's connection ended the body. */
  readonly endsWithConnection?: boolean;
  /** True for the stored response to an earlier call with the same Idempotency-Key. */
  readonly replayed: boolean;
}

/** Work that a forwarded call declares for a model engine. */
export interface DeclaredWork {
  readonly promptTokens: Tokens;
  readonly maxTokens: Tokens;
  /** The caller's estimate of its output; correct in the median, but single values may be far off. */
  readonly expectedOutputTokens?: Tokens;
  readonly parts: readonly PromptPart[];
}

/** A call that is routed by host name and path, and forwarded byte for byte. */
export interface ForwardRequest {
  readonly key: string | undefined;
  /** Host name of the request. */
  readonly host: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** Only headers that are forwarded to an upstream; lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** The caller's timeout in milliseconds; undefined where it sent none. */
  readonly callerTimeoutMs: Millis | undefined;
  /** Undefined where the caller declared none. */
  readonly work: DeclaredWork | undefined;
  /** Position of the last event that the caller has got of the stream which it takes up; absent for a new one. */
  readonly lastPosition?: number;
  /** True where the caller takes a stream up after an event whose position can't be read. */
  readonly isPositionUnreadable?: boolean;
  /** Id of the attempt that brought the first event of the stream which the caller takes up; undefined for none. */
  readonly resumes?: RequestId;
}

/** An event of a forwarded call; the last one is `done` or `refused`. */
export type ForwardEvent =
  | {
      readonly type: 'head';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      /** True where only the close of the upstream's connection ended the body. */
      readonly endsWithConnection?: boolean;
      /** Size of the body; absent where it is not known before its end. */
      readonly bodyBytes?: number;
    }
  | {
      readonly type: 'data';
      readonly bytes: Uint8Array;
      /** Position of a stream's event, after which it can go on; absent for other responses. */
      readonly position?: number;
      /** Software of the engine that brought the event; absent where engines have no versions. */
      readonly softwareVersion?: SoftwareVersion;
    }
  | { readonly type: 'done' }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** What tells how long a forwarded call may take. */
export type ForwardTarget = Pick<ForwardRequest, 'host' | 'path' | 'callerTimeoutMs'>;

/** How long a forwarded call may take, in milliseconds since it arrived. */
export interface ForwardTimes {
  /** Until it is answered. */
  readonly timeoutMs: Millis;
  /** Until it starts; one that waits for longer could not be answered in time to be of use. */
  readonly maxWaitMs: Millis;
}

/** What an ingress for forwarded calls needs of the host. */
export interface ForwardBackend {
  /** Gets how long a call may take; undefined where it has no route. */
  timesOf?(target: ForwardTarget): ForwardTimes | undefined;

  /**
   * Serves a forwarded call.
   *
   * @param id - The request's id, set by its caller.
   * @param req - The call.
   * @param signal - Aborted when the caller disconnects.
   * @param waitedMs - Milliseconds that the call has waited since it arrived; 0 if absent.
   * @returns The events; `refused` after `head` means that the response is truncated.
   */
  forward(
    id: RequestId,
    req: ForwardRequest,
    signal: AbortSignal,
    waitedMs?: Millis,
  ): AsyncIterable<ForwardEvent>;
}

/** What the HTTP server needs of the host; scenarios call it without HTTP. */
export interface CallerBackend {
  /** Creates a request id. */
  newRequestId(): RequestId;

  /** Gets the hosts recommended to the key's team. */
  recommendHosts(key: string | undefined): Result<HostRecommendation, Refusal>;

  /** Gets the models that the key's team may request. */
  models(key: string | undefined): Result<readonly ModelId[], Refusal>;

  /**
   * Serves a completion.
   *
   * @param id - The request's id.
   * @param req - The caller's request.
   * @param signal - Aborted when the caller disconnects.
   * @returns The events; ends after `done` or `refused`.
   */
  complete(
    id: RequestId,
    req: CompletionRequest,
    signal: AbortSignal,
  ): AsyncIterable<CompletionEvent>;

  /**
   * Serves a call to a plain service.
   *
   * @param id - The request's id.
   * @param req - The caller's request.
   * @param signal - Aborted when the caller disconnects.
   * @returns The complete response, or a refusal.
   */
  callService(
    id: RequestId,
    req: ServiceRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, Refusal>>;
}
