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
import type {
  EngineKnowledge,
  EnginePair,
  LocalPlacement,
  LocalQueue,
  WorkItem,
} from '@camphorvane/decisions';
import type { Result } from 'neverthrow';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { PlacedPair } from './Placer.ts';

/** What a request that asked for engines gets. */
export type ReserveAnswer = Result<PlacedPair, Refusal>;

/** A request that waits for engines. */
export interface WaitingRequest {
  readonly item: WorkItem;
  readonly since: Millis;
  readonly answer: (answer: ReserveAnswer) => void;
}

/** What a placed request holds. */
export interface HeldReservation {
  readonly model: ModelId;
  readonly team: TeamId;
  readonly pair: EnginePair;
  readonly promptTokens: Tokens;
  /** Whether its prefill engine had nothing else to read, as far as known. */
  readonly wasIdle: boolean;
  readonly memoryTokens: Tokens;
  /** See {@link WorkItem.longestPauseMs}. */
  readonly longestPauseMs: Millis | undefined;
}

/** The requests of one model on this host. */
export interface LocalPool {
  readonly model: ModelId;
  readonly placement: LocalPlacement;
  readonly queue: LocalQueue;
  readonly waiting: Map<RequestId, WaitingRequest>;
}

/** What a placer is made of. */
export interface LocalPlacerOptions {
  /** Times waits. */
  readonly clock: Clock;
  /** Draws engines in large fleets. */
  readonly random: RandomSource;
  /** Knows the engines. */
  readonly directory: UpstreamDirectory;
  /** What this host knows of the engines, from itself and from its peers. */
  readonly knowledge: EngineKnowledge;
  /** Names this start of the host; reservations begin with it. */
  readonly incarnation: string;
  /** Called when a request takes or gives back room, when a prompt is read, and when an engine is found down or up. */
  readonly onNews: () => void;
}
