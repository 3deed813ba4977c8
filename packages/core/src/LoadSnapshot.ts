import type { AttemptId } from './ids.ts';
import type { Pieces } from './tokens.ts';

/** What an engine reports of its load; reports lag. */
export interface LoadSnapshot {
  readonly role: 'prefill' | 'decode';
  readonly usedPieces: Pieces;
  readonly memoryPieces: Pieces;
  readonly running: number;
  readonly waiting: number;
  /** Attempts that hold memory now; the pool's steward compares them with its ledger. */
  readonly attempts: readonly AttemptId[];
  /** Orders that the engine has taken since its start; absent where it does not say. */
  readonly ordersTaken?: number;
}
