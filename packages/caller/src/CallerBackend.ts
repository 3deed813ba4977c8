import type {
  Millis,
  ModelId,
  PromptPart,
  Refusal,
  RequestId,
  ServiceId,
  Tokens,
  WorkClass,
} from '@camphorvane/core';
import type { Result } from 'neverthrow';

/** A host that a caller may use. */
export interface AdvisedHost {
  readonly host: string;
  readonly zone: string;
  /** `ip:port` to connect to. */
  readonly address: string;
}

/** Which hosts a caller should use, best first, and for how long it may keep the answer. */
export interface HostAdvice {
  readonly hosts: readonly AdvisedHost[];
  readonly keepForMs: number;
}

/** A completion as a caller asked for it. */
export interface CompletionRequest {
  /** The key that came with the request; undefined where there was none. */
  readonly key: string | undefined;
  readonly model: ModelId;
  readonly prompt: string;
  readonly maxTokens: Tokens;
  readonly class: WorkClass;
  /** True where another host passed the request on; it is not passed on again. */
  readonly hopped: boolean;
}

/** What happens to a completion, in order; ends after `done` or `refused`. */
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

/** A call to a plain service as a caller made it. */
export interface ServiceRequest {
  readonly key: string | undefined;
  readonly service: ServiceId;
  readonly method: string;
  /** Path and query below the service, starting with one slash. */
  readonly path: string;
  /** Only headers that may reach an upstream. */
  readonly headers: Readonly<Record<string, string>>;
  readonly idempotencyKey: string | undefined;
  readonly body: Uint8Array;
  readonly hopped: boolean;
}

/** The whole answer of a plain service. */
export interface ServiceReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** True where only the end of the server's connection ended the body. */
  readonly endsWithConnection?: boolean;
  /** True where an earlier answer to the same Idempotency-Key is given again. */
  readonly replayed: boolean;
}

/** What a call that is passed on declares of the work that a model engine will have with it. */
export interface DeclaredWork {
  readonly promptTokens: Tokens;
  readonly maxTokens: Tokens;
  /** The caller's estimate of its output; often far off, right at the median. */
  readonly expectedTokens?: Tokens;
  readonly parts: readonly PromptPart[];
  /** Position after which the caller wants a stream to go on; undefined for a new one. */
  readonly lastPosition: number | undefined;
}

/** A call that is passed on byte for byte, by host name and path. */
export interface ForwardRequest {
  readonly key: string | undefined;
  /** Host name that the caller asked for. */
  readonly host: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** Only headers that may reach an upstream; lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Milliseconds that the caller will wait; undefined where it did not say. */
  readonly patienceMs: Millis | undefined;
  /** Undefined where the caller declared nothing. */
  readonly work: DeclaredWork | undefined;
}

/** What happens to a call that is passed on, in order; ends after `done` or `refused`. */
export type ForwardEvent =
  | {
      readonly type: 'head';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      /** True where the end of the connection is to end the body, as it did on the way here. */
      readonly endsWithConnection?: boolean;
    }
  | { readonly type: 'data'; readonly bytes: Uint8Array }
  | { readonly type: 'done' }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** What an edge that passes calls on asks of the host. */
export interface ForwardBackend {
  /**
   * Serves a call that is passed on.
   *
   * @param id - The request's id, as its caller gave it.
   * @param req - The call.
   * @param signal - Aborted when the caller has gone.
   * @returns The events; a `refused` after a `head` means that the answer broke off.
   */
  forward(id: RequestId, req: ForwardRequest, signal: AbortSignal): AsyncIterable<ForwardEvent>;
}

/** What the HTTP interface asks of the host; a scenario calls it without HTTP. */
export interface CallerBackend {
  /** Gets a new id for a request. */
  newRequestId(): RequestId;

  /** Gets the hosts that the key's team should use. */
  advise(key: string | undefined): Result<HostAdvice, Refusal>;

  /** Gets the models that the key's team may ask for. */
  models(key: string | undefined): Result<readonly ModelId[], Refusal>;

  /**
   * Serves a completion.
   *
   * @param id - The request's id.
   * @param req - What the caller asked for.
   * @param signal - Aborted when the caller has gone.
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
   * @param req - What the caller asked for.
   * @param signal - Aborted when the caller has gone.
   * @returns The whole answer, or a refusal.
   */
  callService(
    id: RequestId,
    req: ServiceRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceReply, Refusal>>;
}
