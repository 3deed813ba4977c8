import type { EngineConfig, Millis, Tokens } from '@camphorvane/core';
import { EngineSpeed } from './EngineSpeed.ts';

/** Scheduler state of one engine; its memory is in the memory ledger. */
export interface EngineState {
  cfg: EngineConfig;
  readonly speed: EngineSpeed;
  /** True from a failure until the engine recovers. */
  down: boolean;
  /** True while the engine gets no new work because it leaves the pool or changes its role. */
  draining: boolean;
  /** End of the pause in which a slow engine gets no new work; 0 if the engine is not paused. */
  pausedUntil: Millis;
  /** Tokens of the lookup prefills in flight. */
  lookupBacklog: Tokens;
  /** Tokens of all prefills in flight. */
  backlog: Tokens;
  /** Number of lookup prefills in flight. */
  inFlightLookupPrefills: number;
  /** Number of all prefills in flight. */
  inFlightPrefills: number;
  /** End of the last prefill, or the later time at which the idle engine got a new one. */
  busySince: Millis;
}

/** Tells whether an engine accepts new work. */
export function isAvailable(engine: EngineState): boolean {
  return !engine.down && !engine.draining && engine.pausedUntil === 0;
}

/** Creates the state of an engine without observations. */
export function createEngineState(cfg: EngineConfig): EngineState {
  return {
    cfg,
    speed: new EngineSpeed(),
    down: false,
    draining: false,
    pausedUntil: 0,
    lookupBacklog: 0,
    backlog: 0,
    inFlightLookupPrefills: 0,
    inFlightPrefills: 0,
    busySince: 0,
  };
}
