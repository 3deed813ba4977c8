import type {
  Clock,
  Millis,
  PoolConfig,
  Prompt,
  SoftwareVersion,
  Tokens,
  UpstreamId,
} from '@camphorvane/core';
import type { AdoptedReservation, PromptPrefix } from '@camphorvane/decisions';
import type { UpstreamResponseHead, PrefillResult, UpstreamError } from '@camphorvane/upstream';
import type { Metrics } from '../observe/Metrics.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { EngineObserver } from '../placing/EngineObserver.ts';
import type { EnginePlacement, Placer } from '../placing/Placer.ts';
import type { ReservationRenewer } from '../placing/ReservationRenewer.ts';
import type { RequestGuard } from './RequestGuard.ts';
import type { RequestRetries } from './RequestRetries.ts';
import type { StreamRelocator } from './StreamRelocator.ts';

/** Components of the host that an attempt uses. */
export interface AttemptDependencies {
  readonly clock: Clock;
  readonly directory: UpstreamDirectory;
  readonly placements: Placer;
  readonly renewer: ReservationRenewer;
  readonly observer: EngineObserver;
  readonly metrics: Metrics;
  /** Moves running streams to other engines; absent where that is not supported. */
  readonly relocator?: StreamRelocator;
}

/** What a stream's caller expects of it. */
export interface StreamLimits {
  /** Output that is expected; undefined where only the maximum is known. */
  readonly expectedTokens: Tokens | undefined;
  /** Longest pause between two events of an on-time stream; undefined if unlimited. */
  readonly longestPauseMs: Millis | undefined;
  /** Whether another engine may prefill and resume the stream if its engine fails. */
  readonly isResumable: boolean;
}

/** Input of one attempt. */
export interface AttemptPlan {
  readonly pool: PoolConfig;
  readonly placement: EnginePlacement;
  readonly identity: Pick<AdoptedReservation, 'request' | 'holder' | 'team'>;
  readonly prompt: Prompt;
  readonly prefixes: readonly PromptPrefix[];
  /** Text that earlier attempts delivered. */
  readonly deliveredText: string;
  /** Position of the first token to deliver. */
  readonly fromPosition: number;
  /** Whether the caller has the head of a stream, after which only that stream can follow. */
  readonly hasHead: boolean;
  /** Whether earlier events of this answer had no gap, so that the next one is at `fromPosition`. */
  readonly isNextKnown: boolean;
  /** Whether an earlier attempt took the stream up at `fromPosition`, and closed without an event. */
  readonly hasEndedEmpty: boolean;
  /** Whether an engine may have run the request for another host, whose orders to stop it are not known here. */
  readonly hasRunElsewhere: boolean;
  readonly maxTokens: Tokens;
  readonly limits: StreamLimits;
  readonly guard: RequestGuard;
  /** Charges its retries, and counts its arrivals. */
  readonly retries: RequestRetries;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | {
      readonly type: 'done';
      readonly reason: 'stop' | 'length';
      /** Undefined where the decode engine ran the prefill itself. */
      readonly prefill: PrefillResult | undefined;
      readonly outputTokens: Tokens;
    }
  | {
      /** The decode engine gave a final answer instead of a stream, such as an error. */
      readonly type: 'answered';
      readonly engine: UpstreamId;
      readonly head: UpstreamResponseHead;
      readonly body: Uint8Array;
    }
  | FailedAttempt;

/** A failed attempt, with the engine and the stage at which it failed. */
export interface FailedAttempt {
  readonly type: 'failed';
  readonly engine: UpstreamId;
  readonly stage: 'prefill' | 'transfer' | 'decode';
  readonly error: UpstreamError;
}

/** An event of an attempt that is sent to the caller. */
export type AttemptEvent =
  | { readonly type: 'head'; readonly head: UpstreamResponseHead }
  | { readonly type: 'token'; readonly position: number; readonly text: string }
  | {
      readonly type: 'piece';
      readonly position: number;
      readonly bytes: Uint8Array;
      /** Software of the engine that brought it; absent where the engines of the pool have no versions. */
      readonly softwareVersion?: SoftwareVersion;
    };
