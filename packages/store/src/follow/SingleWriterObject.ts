import type { PlatformError, ObjectVersion } from '../ObjectStore.ts';
import type { WatchableStore } from './WatchableStore.ts';

/** An object that only one host writes, under the host's own name. */
export class SingleWriterObject {
  private version: ObjectVersion | undefined;

  /**
   * @param store - The store of the object.
   * @param kind - The object's kind.
   * @param name - The object's name.
   */
  constructor(
    private readonly store: WatchableStore,
    private readonly kind: string,
    private readonly name: string,
  ) {}

  /**
   * Writes the object, whatever its stored version.
   *
   * The response to an earlier write may have been lost after the write took effect, or an earlier
   * incarnation of this host may have written the object. Both appear as a conflict that carries the
   * current version, with which the write is retried once.
   *
   * @param value - The value to write.
   * @returns The error, or undefined once the object is written.
   */
  async write(value: unknown): Promise<PlatformError | undefined> {
    const first = await this.writeOnce(value);
    return first?.type === 'conflict' ? this.writeOnce(value) : first;
  }

  /** Removes the object; succeeds where it does not exist. */
  async remove(): Promise<void> {
    if (this.version === undefined) return;
    await this.store.remove(this.kind, this.name, this.version);
    this.version = undefined;
  }

  private async writeOnce(value: unknown): Promise<PlatformError | undefined> {
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
