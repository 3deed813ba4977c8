import type { Millis, Tokens } from '@camphorvane/core';

/** Time over which the measured rate forgets, in milliseconds of waiting work. */
const MEMORY_MS = 3_000;

/** Time with waiting work that must have been seen before the rate says anything. */
const MIN_SEEN_MS = 500;

/**
 * The rate at which waiting work gets its place, in tokens a millisecond.
 *
 * It is measured only while work waits: without a queue the rate shows what callers sent, not what
 * the engines can take, and a burst after a calm hour would be refused for no reason. Heat lowers
 * the rate within seconds, without anyone having reported it.
 */
export class DrainRate {
  private tokens: Tokens = 0;

  private time: Millis = 0;

  private last: Millis | undefined;

  private waiting = false;

  /**
   * Moves the measurement on.
   *
   * @param now - Present time.
   * @param waiting - Whether work waits from now on.
   */
  advance(now: Millis, waiting: boolean): void {
    const span = this.waiting && this.last !== undefined ? now - this.last : 0;
    const kept = Math.exp(-span / MEMORY_MS);
    this.tokens *= kept;
    this.time = this.time * kept + span;
    this.last = now;
    this.waiting = waiting;
  }

  /** Counts tokens that got their place while work waited. */
  placed(tokens: Tokens): void {
    if (this.waiting) this.tokens += tokens;
  }

  /**
   * Gets the time until some tokens have got their place.
   *
   * @param ahead - Tokens that go first.
   * @returns Milliseconds, or undefined while too little has been seen to tell.
   */
  getWaitMs(ahead: Tokens): Millis | undefined {
    if (this.time < MIN_SEEN_MS || this.tokens <= 0) return undefined;
    return (ahead * this.time) / this.tokens;
  }
}
