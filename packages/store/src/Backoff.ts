import type { Millis, RandomSource } from '@camphorvane/core';

/** Bounds of a {@link Backoff}, in milliseconds. */
export interface BackoffOptions {
  readonly baseMs: Millis;
  readonly maxMs: Millis;
}

/** Least part of the bound that a wait takes, so that no retry follows at once. */
const MIN_PART = 0.25;

/**
 * Waits between retries that double up to a bound and are spread at random.
 *
 * Hosts lose the platform in the same instant. Without the spread they would all come back in the
 * same instant too, and take it down again.
 */
export class Backoff {
  private readonly random: RandomSource;

  private readonly options: BackoffOptions;

  private failures = 0;

  /**
   * @param random - Spreads the waits.
   * @param options - First and longest bound.
   */
  constructor(random: RandomSource, options: BackoffOptions) {
    this.random = random;
    this.options = options;
  }

  /**
   * Gets the wait before the next retry, and doubles the bound for the one after.
   *
   * @returns Milliseconds.
   */
  next(): Millis {
    const bound = Math.min(this.options.maxMs, this.options.baseMs * 2 ** this.failures);
    if (bound < this.options.maxMs) this.failures += 1;
    return bound * (MIN_PART + (1 - MIN_PART) * this.random.next());
  }

  /** Starts over after a success. */
  reset(): void {
    this.failures = 0;
  }
}
