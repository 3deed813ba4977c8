import type { EngineRole, Millis } from '@camphorvane/core';

/** Shares of the last moments in which work waited because engines of a role had no room. */
export interface PoolPressure {
  readonly prefill: number;
  readonly decode: number;
}

/** Time over which the shares forget, in milliseconds; long against a burst of lookups. */
const MEMORY_MS = 10_000;

/** Measures which engines the waiting work is short of. */
export class PressureMeter {
  private shares: PoolPressure = { prefill: 0, decode: 0 };

  private lacking: EngineRole | undefined;

  private last: Millis | undefined;

  /**
   * Moves the measurement on.
   *
   * @param now - Present time.
   * @param lacking - What the first waiting request lacks from now on, if anything.
   */
  advance(now: Millis, lacking: EngineRole | undefined): void {
    const kept = Math.exp(-(now - (this.last ?? now)) / MEMORY_MS);
    const grow = (role: EngineRole): number =>
      this.shares[role] * kept + (this.lacking === role ? 1 - kept : 0);
    this.shares = { prefill: grow('prefill'), decode: grow('decode') };
    this.last = now;
    this.lacking = lacking;
  }

  /** Gets the shares, each from 0 to 1. */
  get(): PoolPressure {
    return this.shares;
  }
}
