import type { Millis } from '@camphorvane/core';

/** What is wrong with a stand-in engine at the moment. */
export interface EngineFaults {
  /** True where connections are refused. */
  readonly down: boolean;
  /** Multiplies every duration; 1 is healthy. */
  readonly slowFactor: number;
  /** Share of the capacity that heat has left, from just above 0 to 1. */
  readonly capacity: number;
  /** True where the engine keeps connections open and sends nothing. */
  readonly silent: boolean;
  /** How many of the next decode streams begin with a token of another attempt. */
  readonly crossedStreams: number;
  /** How many of the next transfers never end. */
  readonly stalledTransfers: number;
  /** A prompt that contains this text crashes the engine. */
  readonly poison: string | undefined;
  /** Time that is added before each answer to a command. */
  readonly delayMs: Millis;
}

/** A healthy engine. */
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
