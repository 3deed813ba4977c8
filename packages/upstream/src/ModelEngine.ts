import type {
  AttemptId,
  LoadReport,
  ModelId,
  OpaquePrompt,
  Pieces,
  Prompt,
  TeamId,
  Tokens,
  UpstreamId,
  UpstreamSignals,
  WorkClass,
} from '@camphorvane/core';
import type { ResultAsync, Result } from 'neverthrow';
import type { ResponseBound } from './readBounded.ts';

/**
 * Why a call to an upstream failed.
 *
 * `dispatched` tells whether the upstream may have started the work; a refusal may say `not_run` only
 * where it is false.
 */
export type UpstreamError =
  | {
      readonly type: 'unreachable';
      readonly dispatched: boolean;
      /** True where another process responded at the upstream's address. */
      readonly answered?: boolean;
      readonly message: string;
    }
  | { readonly type: 'rejected'; readonly dispatched: false; readonly message: string }
  /** Not sent: the upstream has asked this host for rest, or holds as many bytes as allowed. */
  | {
      readonly type: 'withheld';
      readonly dispatched: false;
      /** True where the upstream holds as many bytes of requests as allowed. */
      readonly isFull?: boolean;
      readonly message: string;
    }
  | {
      readonly type: 'broken';
      readonly dispatched: true;
      /** True where the upstream gave an answer that cannot be used; otherwise the connection broke off. */
      readonly answered?: boolean;
      /** The bound that the answer exceeded; absent where it was unusable for another reason. */
      readonly overrun?: ResponseBound;
      readonly message: string;
    }
  | {
      readonly type: 'silent';
      readonly dispatched: boolean;
      /** True where the upstream did not answer a probe either. */
      readonly isGone?: boolean;
      readonly message: string;
    }
  | { readonly type: 'mismatch'; readonly dispatched: true; readonly message: string }
  | { readonly type: 'cancelled'; readonly dispatched: boolean; readonly message: string };

/** Called with what each answer of an upstream says about the upstream. */
export type SignalListener = (upstream: UpstreamId, signals: UpstreamSignals) => void;

/** Command to a prefill engine to run a prompt. */
export interface PrefillCommand {
  readonly attempt: AttemptId;
  readonly model: ModelId;
  readonly prompt: Prompt;
  /** Text already delivered by an earlier decode; run after the prompt when a stream is resumed. */
  readonly continuation: string;
  /** Lower goes first. */
  readonly priority: number;
}

/** The KV cache that a prefill produced; its engine evicts it within about 1 s. */
export interface PrefillResult {
  readonly attempt: AttemptId;
  readonly kvHandle: string;
  readonly promptTokens: Tokens;
  readonly cachedTokens: Tokens;
}

/** Command to a decode engine to fetch a KV cache from a prefill engine. */
export interface TransferCommand {
  readonly attempt: AttemptId;
  readonly kvHandle: string;
  readonly sourceUrl: string;
  readonly pieces: Pieces;
}

/** Command to a decode engine to generate output. */
export interface DecodeCommand {
  readonly attempt: AttemptId;
  /** The call to forward; absent for text prompts, for which the KV cache is enough. */
  readonly prompt?: OpaquePrompt;
  /** KV cache to decode from; undefined where the engine runs the prompt itself. */
  readonly kvHandle: string | undefined;
  readonly maxTokens: Tokens;
  /** Position of the first token to deliver, counted from 0 at the start of the output. */
  readonly fromPosition: number;
  readonly priority: number;
  /** Base URL of the engine that receives a copy of the KV cache as it grows; none where absent. */
  readonly backupUrl?: string;
  /** Whether to decode from the copy that this engine has received. */
  readonly fromBackup?: boolean;
}

/** Command to a decode engine to copy the KV cache of a running stream to another engine. */
export interface MoveCommand {
  /** The call whose stream runs on the engine. */
  readonly prompt: OpaquePrompt;
  /** Base URL of the engine that receives the copy. */
  readonly targetUrl: string;
  /** Whether the stream stops before the copy, so that it can go on at the other engine. */
  readonly last: boolean;
}

/** What an engine did on a {@link MoveCommand}. */
export type MoveResult =
  | {
      readonly type: 'copied';
      /** KV cache to decode from, at the target or again at the source. */
      readonly kvHandle: string;
      /** Events of the stream that are in the copy. */
      readonly events: number;
    }
  | {
      /** The target has no room or can't be reached. */
      readonly type: 'no_room';
      /** KV cache that the source keeps if it has stopped the stream; undefined if the stream goes on. */
      readonly kvHandle: string | undefined;
      readonly events: number | undefined;
    }
  /** The engine does not run the stream, or copies it already. */
  | { readonly type: 'refused' };

/** Status and headers of an upstream's response, unchanged. */
export interface UpstreamResponseHead {
  readonly status: number;
  /** Lower-case names, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  /**
   * True where only the close of the connection ends the body. Whether the body is complete is unknown
   * then, so it is forwarded the same way, without a Content-Length that would claim it.
   */
  readonly endsWithConnection?: boolean;
}

/**
 * How the end of a stream was recognised. One that is `marked` had a length, a last chunk or a final event; one
 * that is `closed` had none of them, so that an engine that ended, or stopped the run, looks the same.
 */
export type StreamEnding = 'marked' | 'closed';

/** One event of a decode stream; only forwarded calls have a `head`. */
export type DecodeEvent =
  | { readonly type: 'head'; readonly attempt: AttemptId; readonly head: UpstreamResponseHead }
  | {
      /** A complete response of the engine instead of a stream, such as an error. */
      readonly type: 'answer';
      readonly attempt: AttemptId;
      readonly head: UpstreamResponseHead;
      readonly body: Uint8Array;
    }
  | {
      readonly type: 'token';
      readonly attempt: AttemptId;
      readonly position: number;
      readonly text: string;
    }
  | {
      /** One event of a forwarded call, byte for byte. */
      readonly type: 'piece';
      readonly attempt: AttemptId;
      readonly position: number;
      readonly bytes: Uint8Array;
    }
  | {
      readonly type: 'done';
      readonly attempt: AttemptId;
      readonly reason: 'stop' | 'length';
      readonly outputTokens: Tokens;
      readonly ending: StreamEnding;
    };

/** An order to an engine, with a monotonically increasing fencing token. */
export type EngineOrder =
  | {
      readonly type: 'role';
      readonly role: 'prefill' | 'decode';
      readonly fence: number;
      /** Id of the sender. */
      readonly holder?: string;
      /** Number of orders that the engine must have accepted before; a delayed order fails this check. */
      readonly expected?: number;
    }
  | { readonly type: 'load_model'; readonly model: ModelId; readonly fence: number }
  | { readonly type: 'load_adapter'; readonly adapter: string; readonly fence: number };

/** One model engine; reached over HTTP by a running host, in memory by a scenario. */
export interface ModelEngine {
  readonly id: UpstreamId;

  /** Runs a prompt until done or aborted. */
  prefill(cmd: PrefillCommand, signal: AbortSignal): ResultAsync<PrefillResult, UpstreamError>;

  /** Fetches a KV cache into this engine. */
  transfer(cmd: TransferCommand, signal: AbortSignal): ResultAsync<void, UpstreamError>;

  /** Streams output; the iteration ends after `done` or after one error. */
  decode(
    cmd: DecodeCommand,
    signal: AbortSignal,
  ): AsyncIterable<Result<DecodeEvent, UpstreamError>>;

  /** Copies the KV cache of a stream that runs here to another engine; absent where not supported. */
  move?(cmd: MoveCommand): ResultAsync<MoveResult, UpstreamError>;

  /** Frees a KV cache that {@link ModelEngine.move} has copied, at both engines. */
  dropHandle?(kvHandle: string): ResultAsync<void, UpstreamError>;

  /** Frees what an attempt holds on this engine; idempotent. */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError>;

  /** Reads the load report, which lags behind the engine's state. */
  load(): ResultAsync<LoadReport, UpstreamError>;

  /** Sends an order. */
  order(order: EngineOrder): ResultAsync<void, UpstreamError>;
}

/** A call to a plain service. */
export interface ServiceCall {
  readonly attempt: AttemptId;
  readonly method: string;
  /** Path and query as the server sees them. */
  readonly path: string;
  /** Lower-case names, without the caller's key and hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly class: WorkClass;
  /** Milliseconds until the caller times out; the server is told to stop by then. */
  readonly timeoutMs: number;
  /** Team of the caller's key; undefined on routes that need none. */
  readonly team?: TeamId;
  /** Ends the call when aborted, unless it has been sent. */
  readonly unsentSignal?: AbortSignal;
}

/** A response of a plain service; complete unless it has a `rest`. */
export interface UpstreamResponse extends UpstreamResponseHead {
  readonly body: Uint8Array;
  /** What follows `body`, read from the server as it is asked for; absent where `body` is complete. */
  readonly rest?: AsyncGenerator<Uint8Array>;
  /** Size of `body` and `rest`, in bytes; absent where the server declared none. */
  readonly bodyBytes?: number;
  /** Returns the buffers of the response; called once it has been delivered or dropped. */
  readonly release?: () => void;
}

/** One server of a plain service. */
export interface PlainServer {
  readonly id: UpstreamId;

  /** Runs one call and reads its response, whole as far as there is room for it. */
  call(call: ServiceCall, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError>;
}
