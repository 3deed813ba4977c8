import type { Millis } from '@camphorvane/core';

/** Sum below which a key is forgotten, as a fraction of the largest amount that was added. */
const FORGET_FRACTION = 0.01;

interface DecayingSum {
  readonly sum: number;
  readonly at: Millis;
  /** Sum below which the key is forgotten. */
  readonly forgetBelow: number;
}

/** Sums by key that decay exponentially, and so measure what was added in the recent past. */
export class DecayingSums<K> {
  private readonly sums = new Map<K, DecayingSum>();

  private readonly decayMs: Millis;

  /** @param decayMs - Time constant of the decay, in milliseconds. */
  constructor(decayMs: Millis) {
    this.decayMs = decayMs;
  }

  /** Adds an amount to the sum of a key. */
  add(key: K, amount: number, now: Millis): void {
    const sum = this.get(key, now) + amount;
    const known = this.sums.get(key)?.forgetBelow ?? 0;
    this.sums.set(key, { sum, at: now, forgetBelow: Math.max(known, amount * FORGET_FRACTION) });
  }

  /** Gets the present sum of a key; 0 where nothing was added lately. */
  get(key: K, now: Millis): number {
    const known = this.sums.get(key);
    if (known === undefined) return 0;
    return known.sum * Math.exp(-(now - known.at) / this.decayMs);
  }

  /** Gets the recent amount of a key per millisecond. */
  ratePerMs(key: K, now: Millis): number {
    return this.get(key, now) / this.decayMs;
  }

  /** Gets the time of the last addition to a key; undefined where there was none lately. */
  updatedAt(key: K): Millis | undefined {
    return this.sums.get(key)?.at;
  }

  /** Gets the keys to which something was added lately. */
  keys(): readonly K[] {
    return [...this.sums.keys()];
  }

  /** Forgets the keys whose sums have decayed. */
  prune(now: Millis): void {
    [...this.sums]
      .filter(([key, { forgetBelow }]) => this.get(key, now) <= forgetBelow)
      .forEach(([key]) => this.sums.delete(key));
  }
}
