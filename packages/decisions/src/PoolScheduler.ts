import type {
  EngineConfig,
  HostId,
  LoadSnapshot,
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

/** One request that asks for a place on a pool's engines. */
export interface WorkItem {
  readonly request: RequestId;
  /** Host that serves the caller; it holds the reservation and renews it. */
  readonly holder: HostId;
  readonly team: TeamId;
  /** Weight of the team in fair queueing. */
  readonly weight: number;
  readonly class: WorkClass;
  readonly promptTokens: Tokens;
  readonly maxOutputTokens: Tokens;
  /** Digests of growing prefixes of the prompt, shortest first, with the tokens each covers. */
  readonly prefixes: readonly PromptPrefix[];
  /** Longest time in the queue, in milliseconds from submission. */
  readonly maxWaitMs: Millis;
  /** Engines that must not be chosen, because this request failed on them. */
  readonly avoid: readonly UpstreamId[];
  /** Output that is expected; absent where nothing but the maximum is known. */
  readonly expectedOutputTokens?: Tokens;
  /** Milliseconds from submission after which the first token is late; absent where it never is. */
  readonly onTimeMs?: Millis;
  /** Longest pause between events of its answer that is on time, in milliseconds; absent: any. */
  readonly longestPauseMs?: Millis;
  /** Rank that the operators gave; lower goes first. Absent where only the class counts. */
  readonly priority?: number;
}

/** A prefix of a prompt that an engine may have in its cache. */
export interface PromptPrefix {
  readonly digest: string;
  readonly tokens: Tokens;
}

/** What the scheduler decided for one request or reservation. */
export type SchedulerDecision =
  | {
      readonly type: 'place';
      readonly request: RequestId;
      readonly holder: HostId;
      readonly reservation: ReservationId;
      readonly prefill: UpstreamId;
      readonly decode: UpstreamId;
      readonly pieces: Pieces;
      /** Priority given to engines; lower goes first. */
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
      /** A reservation ran out: whatever its request holds on the engines is to be cancelled. */
      readonly type: 'reclaim';
      readonly request: RequestId;
      readonly reservation: ReservationId;
      readonly prefill: UpstreamId;
      readonly decode: UpstreamId;
    };

/** Something seen of an engine, by load reports or by the hosts that use it. */
export type EngineObservation =
  | { readonly type: 'load'; readonly engine: UpstreamId; readonly load: LoadSnapshot }
  | {
      /** Mean time between tokens over the last moments, and streams that ran meanwhile. */
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

/** What a scheduler needs to know of its pool. */
export interface PoolShape {
  readonly engines: readonly EngineConfig[];
  readonly ttftTargetMs: Millis;
  readonly itlTargetMs: Millis;
  readonly linkPiecesPerSecond: number;
}

/** How far a reservation has come when it ends; what is freed depends on it. */
export type ReservationEnd = 'done' | 'failed_before_decode' | 'failed_in_decode' | 'caller_gone';

/**
 * Decides which waiting request gets which engines, without any I/O: events come in as calls, and
 * decisions come out of `step`. The steward of a pool runs one, and so does the bench.
 */
export interface PoolScheduler {
  /** Puts a request into the queue, or decides at once that it can't be served. */
  submit(item: WorkItem, now: Millis): void;

  /** Takes a request out of the queue because its caller has gone; unknown requests are ignored. */
  withdraw(request: RequestId, now: Millis): void;

  /** Extends a reservation; false where it is not known (any more). */
  renew(reservation: ReservationId, now: Millis): boolean;

  /** Marks that the prefill of a reservation is over, so that its prefill engine is free again. */
  prefillEnded(reservation: ReservationId, now: Millis): void;

  /** Ends a reservation; unknown ones are ignored, so a repeated release does no harm. */
  release(reservation: ReservationId, end: ReservationEnd, now: Millis): void;

  /** Takes over a reservation that a holder still has from an earlier steward. */
  adopt(reservation: AdoptedReservation, now: Millis): void;

  /** Takes in what was seen of an engine. */
  observe(observation: EngineObservation, now: Millis): void;

  /** Takes a changed pool into force; running work on removed engines keeps its reservation. */
  reshape(shape: PoolShape, now: Millis): void;

  /** Gets all decisions that are due. */
  step(now: Millis): readonly SchedulerDecision[];

  /** Gets when `step` has something to do next even if nothing happens, if ever. */
  nextWake(now: Millis): Millis | undefined;
}

/** A reservation as its holder reports it to a new steward. */
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
