import type { Clock, Millis } from '@camphorvane/core';
import type { ObjectStore, PlatformError, StoredObject } from '@camphorvane/store';
import { ok, type Result } from 'neverthrow';

/** Version conflicts with other writers of the same blob before a write fails. */
const MAX_CONFLICT_RETRIES = 4;

/**
 * Writes content-addressed blobs: texts stored under their digests.
 *
 * A blob that already exists is rewritten with a new time. Otherwise another operator's garbage
 * collection could remove it as unused just before a root refers to it.
 */
export class BlobWriter {
  private readonly store: ObjectStore;

  private readonly clock: Clock;

  /** When this writer last wrote each blob, by kind and digest. */
  private readonly lastWriteAt = new Map<string, Millis>();

  /**
   * @param store - The platform's object store.
   * @param clock - Source of the write time that garbage collection compares.
   */
  constructor(store: ObjectStore, clock: Clock) {
    this.store = store;
    this.clock = clock;
  }

  /**
   * Writes one blob unless this writer wrote it recently.
   *
   * @param kind - The kind of the object.
   * @param digest - The digest of the text, which names the object.
   * @param text - The text.
   * @param freshMs - Milliseconds for which an earlier write by this writer is reused.
   * @returns Nothing, or why the platform rejected the write.
   */
  async write(
    kind: string,
    digest: string,
    text: string,
    freshMs: Millis,
  ): Promise<Result<void, PlatformError>> {
    const key = `${kind}/${digest}`;
    const previousAt = this.lastWriteAt.get(key);
    if (previousAt !== undefined && this.clock.now() - previousAt < freshMs) return ok(undefined);
    const startedAt = this.clock.now();
    const result = await this.put(kind, digest, text);
    if (result.isOk()) this.lastWriteAt.set(key, startedAt);
    return result.map(() => undefined);
  }

  private async put(
    kind: string,
    digest: string,
    text: string,
  ): Promise<Result<StoredObject, PlatformError>> {
    let result = await this.store.put(kind, digest, this.blob(text), 'absent');
    let conflicts = 0;
    while (result.isErr() && result.error.type === 'conflict' && conflicts < MAX_CONFLICT_RETRIES) {
      const expected = result.error.current?.version ?? 'absent';
      result = await this.store.put(kind, digest, this.blob(text), expected);
      conflicts += 1;
    }
    return result;
  }

  private blob(text: string): { readonly text: string; readonly touchedAt: Millis } {
    return { text, touchedAt: this.clock.wall() };
  }
}
