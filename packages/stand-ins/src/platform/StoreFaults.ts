import type { Millis } from '@camphorvane/core';

/** What is wrong with the stand-in platform at the moment, and what it allows. */
export interface StoreFaults {
  readonly down: boolean;
  /** Time that each call takes. */
  readonly delayMs: Millis;
  /** How many of the next writes take effect without an answer. */
  readonly lostAnswers: number;
  /** How old the list of hosts is. */
  readonly hostListLagMs: Millis;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** A healthy platform of today's rates. */
export const NO_STORE_FAULTS: StoreFaults = {
  down: false,
  delayMs: 3,
  lostAnswers: 0,
  hostListLagMs: 1000,
  writesPerSecond: 400,
  readsPerSecond: 2000,
};
