import type { Millis } from './Clock.ts';
import type { AttemptId } from './ids.ts';
import type { Pieces } from './tokens.ts';

/** An engine's load report; it lags behind the engine's state. */
export interface LoadReport {
  readonly role: 'prefill' | 'decode';
  readonly usedPieces: Pieces;
  readonly memoryPieces: Pieces;
  readonly running: number;
  readonly waiting: number;
  /** Attempts that hold memory; the pool's coordinator compares them with its ledger. */
  readonly attempts: readonly AttemptId[];
  /** Orders accepted since the engine's start; absent where the engine does not report it. */
  readonly ordersTaken?: number;
  /** Start of the engine's process, as it tells it itself; absent where it doesn't. */
  readonly startedAt?: Millis;
}
