import type {
  AttemptId,
  LoadSnapshot,
  ModelId,
  OpaquePrompt,
  Pieces,
  Prompt,
  TeamId,
  Tokens,
  UpstreamId,
  WorkClass,
} from '@camphorvane/core';
import type { ResultAsync, Result } from 'neverthrow';

/**
 * Why an upstream did not do what it was asked.
 *
 * `dispatched` tells whether the upstream may have started: only where it is false may a refusal
 * say `not_run`.
 */
export type UpstreamError =
  | {
      readonly type: 'unreachable';
      readonly dispatched: boolean;
      /** True where something at the upstream's address answered, though not the upstream. */
      readonly answered?: boolean;
      readonly message: string;
    }
  | { readonly type: 'rejected'; readonly dispatched: false; readonly message: string }
  | { readonly type: 'broken'; readonly dispatched: true; readonly message: string }
  | { readonly type: 'silent'; readonly dispatched: boolean; readonly message: string }
  | { readonly type: 'mismatch'; readonly dispatched: true; readonly message: string }
  | { readonly type: 'cancelled'; readonly dispatched: boolean; readonly message: string };

/** Asks a prefill engine to run a prompt. */
export interface PrefillCommand {
  readonly attempt: AttemptId;
  readonly model: ModelId;
  readonly prompt: Prompt;
  /** Text that an earlier decode already delivered, to be run after the prompt on a resume. */
  readonly continuation: string;
  /** Lower goes first. */
  readonly priority: number;
}

/** The KV cache that a prefill left on its engine; it is evicted within about a second. */
export interface PrefillResult {
  readonly attempt: AttemptId;
  readonly kvHandle: string;
  readonly promptTokens: Tokens;
  readonly cachedTokens: Tokens;
}

/** Asks a decode engine to fetch a KV cache from a prefill engine. */
export interface TransferCommand {
  readonly attempt: AttemptId;
  readonly kvHandle: string;
  readonly sourceUrl: string;
  readonly pieces: Pieces;
}

/** Asks a decode engine for output from an imported KV cache. */
export interface DecodeCommand {
  readonly attempt: AttemptId;
  /** The call to pass on; absent for text, whose KV cache says all. */
  readonly prompt?: OpaquePrompt;
  /** KV cache to go on from; undefined where the engine is to run the prompt itself. */
  readonly kvHandle: string | undefined;
  readonly maxTokens: Tokens;
  /** Position of the first token to deliver, counted from 0 at the start of the answer. */
  readonly fromPosition: number;
  readonly priority: number;
}

/** Status and headers of an upstream's answer, as it gave them. */
export interface AnswerHead {
  readonly status: number;
  /** Lower-case names, without the headers that concern one connection. */
  readonly headers: Readonly<Record<string, string>>;
  /**
   * True where only the end of the connection ends the body. Nobody can tell then whether the body is
   * whole, so it is passed on in the same way, and never with a length that would vouch for it.
   */
  readonly endsWithConnection?: boolean;
}

/** One event of a decode stream; calls that are passed on have a head, text has none. */
export type DecodeEvent =
  | { readonly type: 'head'; readonly attempt: AttemptId; readonly head: AnswerHead }
  | {
      /** The engine's own final answer instead of a stream, such as an error of its own. */
      readonly type: 'answer';
      readonly attempt: AttemptId;
      readonly head: AnswerHead;
      readonly body: Uint8Array;
    }
  | {
      readonly type: 'token';
      readonly attempt: AttemptId;
      readonly position: number;
      readonly text: string;
    }
  | {
      /** One event of a call that is passed on, byte for byte. */
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
    };

/** An order to an engine, fenced by a number that only grows. */
export type EngineOrder =
  | {
      readonly type: 'role';
      readonly role: 'prefill' | 'decode';
      readonly fence: number;
      /** Who gives the order. */
      readonly holder?: string;
      /** Orders that the engine must have taken before; an order that comes late fails on it. */
      readonly expected?: number;
    }
  | { readonly type: 'load_model'; readonly model: ModelId; readonly fence: number }
  | { readonly type: 'load_adapter'; readonly adapter: string; readonly fence: number };

/** One model engine, over HTTP in a running host and in memory in a scenario. */
export interface ModelEngine {
  readonly id: UpstreamId;

  /** Runs a prompt; aborting the signal cancels it. */
  prefill(cmd: PrefillCommand, signal: AbortSignal): ResultAsync<PrefillResult, UpstreamError>;

  /** Fetches a KV cache into this engine. */
  transfer(cmd: TransferCommand, signal: AbortSignal): ResultAsync<void, UpstreamError>;

  /** Streams output; the iteration ends after `done` or after one error. */
  decode(
    cmd: DecodeCommand,
    signal: AbortSignal,
  ): AsyncIterable<Result<DecodeEvent, UpstreamError>>;

  /** Frees whatever an attempt holds on this engine; idempotent. */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError>;

  /** Reads the lagging load report. */
  load(): ResultAsync<LoadSnapshot, UpstreamError>;

  /** Gives an order. */
  order(order: EngineOrder): ResultAsync<void, UpstreamError>;
}

/** A call to a plain service. */
export interface ServiceCall {
  readonly attempt: AttemptId;
  readonly method: string;
  /** Path and query as the server sees them. */
  readonly path: string;
  /** Lower-case names; the caller's key and hop-by-hop headers are already taken out. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly class: WorkClass;
  /** Milliseconds until the caller gives up; the server is told to stop by then. */
  readonly timeoutMs: number;
  /** Team of the caller's key; undefined on routes that need none. */
  readonly team?: TeamId;
}

/** A whole answer of a plain service. */
export interface ServiceAnswer extends AnswerHead {
  readonly body: Uint8Array;
}

/** One server of a plain service. */
export interface PlainServer {
  readonly id: UpstreamId;

  /** Runs one call and reads its whole answer. */
  call(call: ServiceCall, signal: AbortSignal): ResultAsync<ServiceAnswer, UpstreamError>;
}
