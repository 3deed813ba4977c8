import type {
  Millis,
  ReservationId,
  SoftwareVersion,
  Tokens,
  UpstreamId,
  ZoneId,
} from '@camphorvane/core';
import type { StreamBinding } from '../versions/StreamBinding.ts';

/** KV memory that streams hold on an engine, and how fast it grows. */
export interface HeldMemory {
  readonly tokens: Tokens;
  /** Tokens per millisecond, averaged over {@link FORECAST_HORIZON_MS}. */
  readonly growthPerMs: number;
}

/** A decode engine, as the relocation of streams sees it. */
export interface RelocationEngine {
  readonly id: UpstreamId;
  readonly zone: ZoneId;
  readonly capacityTokens: Tokens;
  /** Most streams at a time; infinite where only memory limits them. */
  readonly slots: number;
  /** Streams of all hosts, those that are still prefilled included. */
  readonly streams: number;
  /** Mean memory of those streams over their run. */
  readonly reservedTokens: Tokens;
  /** What they hold now. */
  readonly held: HeldMemory;
  /** Milliseconds between two output tokens of a stream; undefined while not measured. */
  readonly tokenMs: Millis | undefined;
  /** Output tokens per event. */
  readonly eventTokens: Tokens;
  /** Whether the engine is about to stop or is not listed any more. */
  readonly isLeaving: boolean;
  /** Whether this host may send it requests now. */
  readonly isOpen: boolean;
  /** Absent where the engines of the pool have no versions. */
  readonly softwareVersion?: SoftwareVersion;
}

/** A stream of this host whose output has begun. */
export interface RunningStream {
  readonly id: ReservationId;
  readonly engine: UpstreamId;
  readonly heldTokens: Tokens;
  /** Output that is expected beyond what was delivered. */
  readonly remainingTokens: Tokens;
  /** Lower is more urgent. */
  readonly priority: number;
  readonly startedAt: Millis;
  /** Longest pause between two events of an on-time stream; absent if unlimited. */
  readonly longestPauseMs?: Millis;
  /** Mean time between two events while the caller read them at once; undefined while not measured. */
  readonly eventMs?: Millis;
  /** Whether a move of the stream is under way, or has ended recently. */
  readonly isPinned: boolean;
  /** Which engines may go on with it; any where absent. */
  readonly binding?: StreamBinding;
}

/** What a plan of relocations is based on. */
export interface RelocationView {
  readonly engines: readonly RelocationEngine[];
  /** Running streams of this host. */
  readonly streams: readonly RunningStream[];
  /** Engines that this host moves a stream away from at the moment. */
  readonly busySources: ReadonlySet<UpstreamId>;
}

/** Why a stream moves. */
export type RelocationReason = 'memory' | 'leaving' | 'slow';

/** A stream that is to move to another engine. */
export interface Relocation {
  readonly stream: ReservationId;
  readonly from: UpstreamId;
  readonly to: UpstreamId;
  readonly reason: RelocationReason;
}

/**
 * Milliseconds ahead for which memory is forecast: the time of a copy, its confirmation and one lost
 * message. A stream whose engine runs out sooner can't be moved in time.
 */
export const FORECAST_HORIZON_MS: Millis = 400;
