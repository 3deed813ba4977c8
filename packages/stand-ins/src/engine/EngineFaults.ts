import type { Millis } from '@camphorvane/core';

/** Faults that are injected into a stand-in engine. */
export interface EngineFaults {
  /** True if connections are refused. */
  readonly down: boolean;
  /** Multiplies every duration; 1 is healthy. */
  readonly slowFactor: number;
  /** Share of the compute capacity left under thermal throttling, above 0 and up to 1. */
  readonly capacity: number;
  /** True if the engine keeps connections open but sends nothing. */
  readonly silent: boolean;
  /** Number of upcoming decode streams that start with a token of another attempt. */
  readonly crossedStreams: number;
  /** Number of upcoming transfers that never complete. */
  readonly stalledTransfers: number;
  /** A prompt that contains this text crashes the engine. */
  readonly poison: string | undefined;
  /** Delay added to each answer to a command. */
  readonly delayMs: Millis;
}

/** No faults. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  down: false,
  slowFactor: 1,
  capacity: 1,
  silent: false,
  crossedStreams: 0,
  stalledTransfers: 0,
  poison: undefined,
  delayMs: 0,
};
