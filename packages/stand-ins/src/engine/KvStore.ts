import type { AttemptId, CancelTimer, Clock, Millis, Pieces } from '@camphorvane/core';

/** The KV cache of a prompt, as one engine exports it to another. */
export interface KvCache {
  readonly prompt: string;
  /** Output tokens that were run after the prompt. */
  readonly continuation: string;
  readonly pieces: Pieces;
}

/** A KV cache in an engine's memory. */
export interface KvEntry {
  readonly handle: string;
  readonly attempt: AttemptId;
  readonly cache: KvCache;
  /** Pieces of memory held, which for a decode engine includes room for the output. */
  readonly pieces: Pieces;
}

/** Keeps the KV caches in one engine's memory and counts the pieces they hold. */
export class KvStore {
  private readonly entries = new Map<string, KvEntry>();

  private readonly timers = new Map<string, CancelTimer>();

  constructor(private readonly clock: Clock) {}

  /** Gets the pieces held now. */
  usedPieces(): Pieces {
    return [...this.entries.values()].reduce((sum, entry) => sum + entry.pieces, 0);
  }

  /** Gets the attempts that hold memory now. */
  attempts(): readonly AttemptId[] {
    return [...this.entries.values()].map((entry) => entry.attempt);
  }

  /** Gets an entry by its handle, if it is still there. */
  get(handle: string): KvEntry | undefined {
    return this.entries.get(handle);
  }

  /**
   * Stores an entry.
   *
   * @param entry - What to store; an entry of the same handle is replaced.
   * @param lifeMs - Evicts it after so long; undefined keeps it until it is dropped.
   */
  put(entry: KvEntry, lifeMs?: Millis): void {
    this.drop(entry.handle);
    this.entries.set(entry.handle, entry);
    if (lifeMs === undefined) return;
    this.timers.set(
      entry.handle,
      this.clock.after(lifeMs, () => this.drop(entry.handle)),
    );
  }

  /** Frees one entry; does nothing where it is not known. */
  drop(handle: string): void {
    this.timers.get(handle)?.();
    this.timers.delete(handle);
    this.entries.delete(handle);
  }

  /** Frees whatever an attempt holds. */
  dropAttempt(attempt: AttemptId): void {
    [...this.entries.values()]
      .filter((entry) => entry.attempt === attempt)
      .forEach((entry) => this.drop(entry.handle));
  }

  /** Frees everything. */
  clear(): void {
    [...this.entries.keys()].forEach((handle) => this.drop(handle));
  }
}
