import type { Millis, ModelId, Refusal, RequestId, TeamId, Tokens } from '@camphorvane/core';
import type { EnginePair, LocalPlacement, LocalQueue, WorkItem } from '@camphorvane/decisions';
import type { Result } from 'neverthrow';
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
