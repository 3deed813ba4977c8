import type {
  Clock,
  Millis,
  ModelId,
  RandomSource,
  Refusal,
  RequestId,
  TeamId,
  Tokens,
} from '@camphorvane/core';
import { meanMemoryTokens, memorySteps } from '@camphorvane/decisions';
import type {
  EngineKnowledge,
  EnginePair,
  LocalPlacement,
  LocalQueue,
  QueuedRequest,
  QueueOrder,
  StreamBinding,
  TurnScheduler,
  WorkItem,
} from '@camphorvane/decisions';
import type { Result } from 'neverthrow';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { HeldStream } from '../serving/queuedWork.ts';
import type { EnginePlacement } from './Placer.ts';

/** Engines for a request, or why it was refused. */
export type ReserveResult = Result<EnginePlacement, Refusal>;

/** A request that waits for engines. */
export interface WaitingRequest {
  readonly item: WorkItem;
  readonly since: Millis;
  readonly answer: (answer: ReserveResult) => void;
}

/** Engines and memory used by a placed request. */
export interface LocalReservation {
  readonly model: ModelId;
  readonly team: TeamId;
  readonly pair: EnginePair;
  readonly promptTokens: Tokens;
  /** Whether the prefill engine was idle, as far as known; only then its speed is measured. */
  readonly wasIdle: boolean;
  readonly memoryTokens: Tokens;
  /** See {@link WorkItem.longestPauseMs}. */
  readonly longestPauseMs: Millis | undefined;
  readonly reservedAt: Millis;
  readonly request: RequestId;
  readonly priority: number;
  /** See {@link WorkItem.binding}. */
  readonly binding: StreamBinding | undefined;
}

/** Queue and placement of one model's requests on this host. */
export interface LocalPool {
  readonly model: ModelId;
  readonly placement: LocalPlacement;
  readonly queue: LocalQueue;
  readonly waiting: Map<RequestId, WaitingRequest>;
}

/** Records what streams hold. */
export interface StreamAccounts {
  /** Records a placed stream. */
  place(stream: HeldStream): void;

  /** Records that a placed stream has ended. */
  release(stream: HeldStream): void;
}

/** Dependencies of {@link LocalPlacer}. */
export interface LocalPlacerOptions {
  readonly clock: Clock;
  /** Samples candidate engines in large fleets. */
  readonly random: RandomSource;
  readonly directory: UpstreamDirectory;
  /** State of the engines as observed by this host and reported by its peers. */
  readonly knowledge: EngineKnowledge;
  /** Incarnation of this host; prefix of its reservation ids. */
  readonly incarnation: string;
  /**
   * Called when a reservation is made or released, when a prefill ends, and when an engine is found down
   * or up, so that peers learn of it soon.
   */
  readonly onStateChange: () => void;
  readonly metrics?: Metrics;
  /** Gets the refusal of requests while their engines can't be reached; undefined while they can. */
  readonly refusalFor?: (model: ModelId) => Refusal | undefined;
  /** Records what the streams of each team hold; absent where queues are not ordered by it. */
  readonly fairQueues?: StreamAccounts;
  /** Gets what schedules the retries of a model's refused callers; undefined while that is off. */
  readonly turns?: (model: ModelId) => TurnScheduler | undefined;
  /** Gets the order of a model's waiting requests; undefined while that is off. */
  readonly order?: (model: ModelId) => QueueOrder | undefined;
}

/** Priority passed to engines for requests without one: the middle of the scale. */
export const DEFAULT_PRIORITY = 5;

/**
 * Converts a request to an entry of the queue of its pool.
 *
 * @param item - The request.
 * @param now - Present time, at which it is submitted.
 * @returns The entry.
 */
export function queuedRequest(item: WorkItem, now: Millis): QueuedRequest {
  return {
    request: item.request,
    team: item.team,
    priority: item.priority ?? DEFAULT_PRIORITY,
    lateAt: now + (item.onTimeMs ?? item.maxWaitMs),
    giveUpAt: now + item.maxWaitMs,
    promptTokens: item.promptTokens,
    memoryTokens: meanMemoryTokens(item),
    memorySteps: memorySteps(item),
    submittedAt: now,
    avoid: item.avoid,
    longestPauseMs: item.longestPauseMs,
    callerTimes: item.callerTimes,
    binding: item.binding,
    isPromptRead: item.isPromptRead,
  };
}
