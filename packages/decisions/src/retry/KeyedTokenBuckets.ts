import type { Millis } from '@camphorvane/core';

const MS_PER_SECOND = 1000;

/** Buckets that each change checks for removal. */
const SWEEP_BATCH = 2;

interface Bucket {
  readonly level: number;
  readonly updatedAt: Millis;
}

/** Token buckets by key that share one refill rate and capacity; full buckets take no memory. */
export class KeyedTokenBuckets<Key> {
  private readonly buckets = new Map<Key, Bucket>();

  constructor(private readonly opts: { readonly perSecond: number; readonly capacity: number }) {}

  /** Gets the number of buckets kept: those below capacity when they were last checked. */
  get size(): number {
    return this.buckets.size;
  }

  /** Gets the present level of a key's bucket. */
  get(key: Key, now: Millis): number {
    const { capacity, perSecond } = this.opts;
    const bucket = this.buckets.get(key);
    if (bucket === undefined) return capacity;
    return Math.min(
      capacity,
      bucket.level + ((now - bucket.updatedAt) * perSecond) / MS_PER_SECOND,
    );
  }

  /** Adds tokens to a key's bucket; a negative number takes them out. */
  add(key: Key, tokens: number, now: Millis): void {
    const level = this.get(key, now) + tokens;
    this.buckets.delete(key);
    if (level < this.opts.capacity) this.buckets.set(key, { level, updatedAt: now });
    this.sweep(now);
  }

  /** Removes the least recently changed buckets if they are full again. */
  private sweep(now: Millis): void {
    const oldest = this.buckets.keys();
    const keys = Array.from({ length: SWEEP_BATCH }, () => oldest.next());
    keys.forEach((key) => {
      if (!key.done && this.get(key.value, now) >= this.opts.capacity)
        this.buckets.delete(key.value);
    });
  }
}
