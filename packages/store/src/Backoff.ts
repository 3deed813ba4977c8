import type { Millis, RandomSource } from '@camphorvane/core';

/** Bounds of a {@link Backoff}. */
export interface BackoffOptions {
  /** Bound of the first delay, in milliseconds. */
  readonly baseMs: Millis;
  /** Largest bound, in milliseconds. */
  readonly maxMs: Millis;
}

/** Minimum delay as a fraction of the bound, so that no retry follows at once. */
const MIN_FRACTION = 0.25;

/**
 * Exponential back-off with jitter.
 *
 * All hosts lose the platform at the same time. Without jitter they would all retry at the same time
 * too, and overload it again.
 */
export class Backoff {
  private readonly random: RandomSource;

  private readonly options: BackoffOptions;

  private failures = 0;

  /**
   * @param random - Source of the jitter.
   * @param options - First and largest bound.
   */
  constructor(random: RandomSource, options: BackoffOptions) {
    this.random = random;
    this.options = options;
  }

  /**
   * Gets the delay before the next retry and doubles the bound for the one after it.
   *
   * @returns Milliseconds.
   */
  nextDelayMs(): Millis {
    const bound = Math.min(this.options.maxMs, this.options.baseMs * 2 ** this.failures);
    if (bound < this.options.maxMs) this.failures += 1;
    return bound * (MIN_FRACTION + (1 - MIN_FRACTION) * this.random.next());
  }

  /** Resets the bound after a success. */
  reset(): void {
    this.failures = 0;
  }
}
