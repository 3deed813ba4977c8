import type { AttemptId, CancelTimer, Clock, Millis, Pieces } from '@camphorvane/core';

/** KV cache of a prompt, as one engine exports it to another. */
export interface KvCache {
  readonly prompt: string;
  /** Output tokens that the cache covers after the prompt. */
  readonly continuation: string;
  readonly pieces: Pieces;
}

/** An entry of a {@link KvStore}. */
export interface KvEntry {
  readonly handle: string;
  readonly attempt: AttemptId;
  readonly cache: KvCache;
  /** Memory allocated to the entry; on a decode engine this includes room for the output. */
  readonly pieces: Pieces;
}

/** KV caches in the memory of one engine, with the pieces they occupy. */
export class KvStore {
  private readonly entries = new Map<string, KvEntry>();

  private readonly timers = new Map<string, CancelTimer>();

  constructor(private readonly clock: Clock) {}

  /** Gets the pieces in use. */
  usedPieces(): Pieces {
    return [...this.entries.values()].reduce((sum, entry) => sum + entry.pieces, 0);
  }

  /** Gets the attempts that hold memory, one element for each entry. */
  attempts(): readonly AttemptId[] {
    return [...this.entries.values()].map((entry) => entry.attempt);
  }

  /** Gets an entry by its handle; undefined if it is not stored. */
  get(handle: string): KvEntry | undefined {
    return this.entries.get(handle);
  }

  /**
   * Stores an entry.
   *
   * @param entry - Replaces an entry with the same handle.
   * @param ttlMs - Time until eviction; undefined keeps the entry until it is dropped.
   */
  put(entry: KvEntry, ttlMs?: Millis): void {
    this.drop(entry.handle);
    this.entries.set(entry.handle, entry);
    if (ttlMs === undefined) return;
    this.timers.set(
      entry.handle,
      this.clock.after(ttlMs, () => this.drop(entry.handle)),
    );
  }

  /** Frees one entry, if it is stored. */
  drop(handle: string): void {
    this.timers.get(handle)?.();
    this.timers.delete(handle);
    this.entries.delete(handle);
  }

  /** Frees all entries of an attempt. */
  dropAttempt(attempt: AttemptId): void {
    [...this.entries.values()]
      .filter((entry) => entry.attempt === attempt)
      .forEach((entry) => this.drop(entry.handle));
  }

  /** Frees all entries. */
  clear(): void {
    [...this.entries.keys()].forEach((handle) => this.drop(handle));
  }
}
