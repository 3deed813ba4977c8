import type { PlatformError, ObjectVersion } from '../ObjectStore.ts';
import type { WatchableStore } from './WatchableStore.ts';

/** One object that a single host writes, under its own name. */
export class OwnRecord {
  private version: ObjectVersion | undefined;

  /**
   * @param store - Where the object is.
   * @param kind - Its kind.
   * @param name - Its name.
   */
  constructor(
    private readonly store: WatchableStore,
    private readonly kind: string,
    private readonly name: string,
  ) {}

  /**
   * Writes the object over whatever is there.
   *
   * The answer to a write can be lost after it took effect, and an earlier start of this host may
   * have written the object. Both show as a conflict that carries the present version, so the write
   * is sent once more with that.
   *
   * @param value - What to write.
   * @returns Why it was not written, if it was not.
   */
  async write(value: unknown): Promise<PlatformError | undefined> {
    const first = await this.tryWrite(value);
    return first?.type === 'conflict' ? this.tryWrite(value) : first;
  }

  /** Removes the object; one that is gone already counts as removed. */
  async remove(): Promise<void> {
    if (this.version === undefined) return;
    await this.store.remove(this.kind, this.name, this.version);
    this.version = undefined;
  }

  private async tryWrite(value: unknown): Promise<PlatformError | undefined> {
    const { store, kind, name } = this;
    const result = await store.put(kind, name, value, this.version ?? 'absent');
    if (result.isOk()) {
      this.version = result.value.version;
      return undefined;
    }
    if (result.error.type === 'conflict') this.version = result.error.current?.version;
    return result.error;
  }
}
