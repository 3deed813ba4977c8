import type {
  EngineConfig,
  HostId,
  LoadReport,
  Millis,
  Pieces,
  Refusal,
  RequestId,
  ReservationId,
  TeamId,
  Tokens,
  UpstreamId,
  WorkClass,
} from '@camphorvane/core';
import type { CallerTimes } from './admission/CallerTimes.ts';
import type { StreamBinding } from './versions/StreamBinding.ts';

/** A request to be placed on the engines of a pool. */
export interface WorkItem {
  readonly request: RequestId;
  /** Host that serves the caller, and holds and renews the reservation. */
  readonly holder: HostId;
  readonly team: TeamId;
  /** Weight of the team in fair queueing. */
  readonly weight: number;
  readonly class: WorkClass;
  readonly promptTokens: Tokens;
  readonly maxOutputTokens: Tokens;
  /** Prefixes of the prompt that an engine may have cached, shortest first. */
  readonly prefixes: readonly PromptPrefix[];
  /** Longest time in the queue from submission, in milliseconds. */
  readonly maxWaitMs: Millis;
  /** Engines not to choose, since this request has failed on them. */
  readonly avoid: readonly UpstreamId[];
  /** Estimated output; absent if only the maximum is known. */
  readonly expectedOutputTokens?: Tokens;
  /** Milliseconds from submission after which the first token is late; absent if it never is. */
  readonly onTimeMs?: Millis;
  /** Longest pause between events of an answer that is on time, in milliseconds; absent if unlimited. */
  readonly longestPauseMs?: Millis;
  /** Priority set by the operators; lower goes first. Absent if only the class counts. */
  readonly priority?: number;
  /** What is known of the caller's wait; absent where nothing is. */
  readonly callerTimes?: CallerTimes;
  /** Which engines may go on with its stream; any where absent. */
  readonly binding?: StreamBinding;
  /** Whether an engine has read its prompt for another one before; absent where none has. */
  readonly isPromptRead?: boolean;
}

/** A prefix of a prompt that an engine may have in its cache, with the tokens that it covers. */
export interface PromptPrefix {
  readonly digest: string;
  readonly tokens: Tokens;
}

/** A decision of the scheduler on a request or a reservation. */
export type SchedulerDecision =
  | {
      readonly type: 'place';
      readonly request: RequestId;
      readonly holder: HostId;
      readonly reservation: ReservationId;
      readonly prefill: UpstreamId;
      readonly decode: UpstreamId;
      readonly pieces: Pieces;
      /** Priority passed to the engines; lower goes first. */
      readonly priority: number;
      readonly expiresAt: Millis;
      readonly expectedCachedTokens: Tokens;
    }
  | {
      readonly type: 'refuse';
      readonly request: RequestId;
      readonly holder: HostId;
      readonly refusal: Refusal;
    }
  | {
      /** A reservation has expired: its request is to be cancelled on both engines. */
      readonly type: 'reclaim';
      readonly request: RequestId;
      readonly reservation: ReservationId;
      readonly prefill: UpstreamId;
      readonly decode: UpstreamId;
    };

/** An observation of an engine, from a load report or a host that uses it. */
export type EngineObservation =
  | { readonly type: 'load'; readonly engine: UpstreamId; readonly load: LoadReport }
  | {
      /** Recent mean time between tokens, and the number of streams that ran meanwhile. */
      readonly type: 'token_interval';
      readonly engine: UpstreamId;
      readonly meanMs: Millis;
      readonly streams: number;
    }
  | {
      readonly type: 'prefill_done';
      readonly engine: UpstreamId;
      readonly tokens: Tokens;
      readonly cachedTokens: Tokens;
      readonly tookMs: Millis;
      readonly prefixes: readonly PromptPrefix[];
    }
  | { readonly type: 'failed'; readonly engine: UpstreamId; readonly reason: 'down' | 'slow' }
  | { readonly type: 'recovered'; readonly engine: UpstreamId }
  | {
      readonly type: 'cache';
      readonly engine: UpstreamId;
      readonly digest: string;
      readonly change: 'stored' | 'evicted';
    };

/** The part of a pool's configuration that its scheduler uses. */
export interface PoolSchedulerConfig {
  readonly engines: readonly EngineConfig[];
  /** Target for the time to the first token, in milliseconds. */
  readonly ttftTargetMs: Millis;
  /** Target for the time between two tokens, in milliseconds. */
  readonly itlTargetMs: Millis;
  /** Bandwidth of the link into each decode engine, in pieces a second. */
  readonly linkPiecesPerSecond: number;
}

/** How the request of a reservation ended; only `done` counts as a success of the decode engine. */
export type ReservationEnd = 'done' | 'failed_before_decode' | 'failed_in_decode' | 'caller_gone';

/**
 * Decides which queued request is placed on which engines. It does no I/O: events are passed in by
 * calls, and `step` returns the decisions. The coordinator of a pool runs its
 * scheduler.
 */
export interface PoolScheduler {
  /** Queues a request, or refuses it if it can't be served; `step` returns the refusal. */
  submit(item: WorkItem, now: Millis): void;

  /** Removes a queued request whose caller has gone; unknown requests are ignored. */
  withdraw(request: RequestId, now: Millis): void;

  /** Extends a reservation; false if it is unknown or expired. */
  renew(reservation: ReservationId, now: Millis): boolean;

  /** Records the end of a reservation's prefill, which frees its prefill engine. */
  prefillEnded(reservation: ReservationId, now: Millis): void;

  /** Releases a reservation; unknown ones are ignored, so releases are idempotent. */
  release(reservation: ReservationId, end: ReservationEnd, now: Millis): void;

  /** Adopts a reservation that its holder has from an earlier coordinator. */
  adopt(reservation: AdoptedReservation, now: Millis): void;

  /** Applies an observation of an engine. */
  observe(observation: EngineObservation, now: Millis): void;

  /** Applies a changed configuration; work on removed engines keeps its reservation. */
  reconfigure(cfg: PoolSchedulerConfig, now: Millis): void;

  /** Advances to the present time and gets all new decisions. */
  step(now: Millis): readonly SchedulerDecision[];

  /** Gets when to call `step` next if no event comes first; undefined if never. */
  nextWake(now: Millis): Millis | undefined;
}

/** A reservation as its holder reports it to a new coordinator. */
export interface AdoptedReservation {
  readonly reservation: ReservationId;
  readonly request: RequestId;
  readonly holder: HostId;
  readonly team: TeamId;
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  readonly pieces: Pieces;
  readonly prefillRunning: boolean;
}
