import type { Millis } from '@camphorvane/core';

/** Faults that are injected into the stand-in platform, and its rate limits. */
export interface StoreFaults {
  readonly down: boolean;
  /** Duration of each call. */
  readonly delayMs: Millis;
  /** Number of upcoming writes that take effect but whose answer is lost. */
  readonly lostAnswers: number;
  /** Age of the host list that readers get. */
  readonly hostListLagMs: Millis;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** No faults, and the rate limits of the real platform. */
export const NO_STORE_FAULTS: StoreFaults = {
  down: false,
  delayMs: 3,
  lostAnswers: 0,
  hostListLagMs: 1000,
  writesPerSecond: 400,
  readsPerSecond: 2000,
};
