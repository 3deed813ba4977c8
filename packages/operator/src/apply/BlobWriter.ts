import type { Clock, Millis } from '@camphorvane/core';
import type { ObjectStore, PlatformError, StoredObject } from '@camphorvane/store';
import { ok, type Result } from 'neverthrow';

/** How often another writer of the same blob may come between before the write is given up. */
const MAX_RACES = 4;

/**
 * Writes texts under their digests.
 *
 * A blob that exists already is written again with a new time. Otherwise the collector of another
 * operator could take it for unused and remove it just before a root refers to it.
 */
export class BlobWriter {
  private readonly store: ObjectStore;

  private readonly clock: Clock;

  /** When each blob was written by this writer. */
  private readonly written = new Map<string, Millis>();

  /**
   * @param store - The platform.
   * @param clock - Gives the time that the collector looks at.
   */
  constructor(store: ObjectStore, clock: Clock) {
    this.store = store;
    this.clock = clock;
  }

  /**
   * Writes one blob unless this writer has done so lately.
   *
   * @param kind - The kind of the object.
   * @param digest - The digest of the text; the object's name.
   * @param text - The text.
   * @param freshMs - Milliseconds for which an earlier write of this writer counts.
   * @returns Nothing, or why the platform did not take it.
   */
  async write(
    kind: string,
    digest: string,
    text: string,
    freshMs: Millis,
  ): Promise<Result<void, PlatformError>> {
    const key = `${kind}/${digest}`;
    const before = this.written.get(key);
    if (before !== undefined && this.clock.now() - before < freshMs) return ok(undefined);
    const startedAt = this.clock.now();
    const result = await this.put(kind, digest, text);
    if (result.isOk()) this.written.set(key, startedAt);
    return result.map(() => undefined);
  }

  private async put(
    kind: string,
    digest: string,
    text: string,
  ): Promise<Result<StoredObject, PlatformError>> {
    let result = await this.store.put(kind, digest, this.blob(text), 'absent');
    let races = 0;
    while (result.isErr() && result.error.type === 'conflict' && races < MAX_RACES) {
      const expected = result.error.current?.version ?? 'absent';
      result = await this.store.put(kind, digest, this.blob(text), expected);
      races += 1;
    }
    return result;
  }

  private blob(text: string): { readonly text: string; readonly touchedAt: Millis } {
    return { text, touchedAt: this.clock.wall() };
  }
}
