import type { EngineConfig, Millis, Tokens } from '@camphorvane/core';
import { EngineSpeed } from './EngineSpeed.ts';

/** What the scheduler knows of one engine besides its memory. */
export interface EngineState {
  cfg: EngineConfig;
  readonly speed: EngineSpeed;
  /** True from a failure until the engine answers again. */
  down: boolean;
  /** True while the engine is to get no new work, because it leaves or changes its role. */
  draining: boolean;
  /** Time until which a slow engine gets no new work; 0 for an engine that is not slow. */
  slowUntil: Millis;
  /** Prefill tokens that were placed and are not over: of lookups, and of all classes. */
  lookupBacklog: Tokens;
  backlog: Tokens;
  /** Prefills that were placed and are not over: of lookups, and of all classes. */
  lookupPrefills: number;
  prefills: number;
  /** When the last prefill was over, or when the engine got one after being idle. */
  busySince: Millis;
}

/** Tells whether an engine may get new work. */
export function takesWork(engine: EngineState): boolean {
  return !engine.down && !engine.draining && engine.slowUntil === 0;
}

/** Makes the state of an engine of which nothing is known yet. */
export function newEngineState(cfg: EngineConfig): EngineState {
  return {
    cfg,
    speed: new EngineSpeed(),
    down: false,
    draining: false,
    slowUntil: 0,
    lookupBacklog: 0,
    backlog: 0,
    lookupPrefills: 0,
    prefills: 0,
    busySince: 0,
  };
}
