import type { PlatformError, StoredObject, WatchBatch, WatchableStore } from '@camphorvane/store';
import { err, okAsync, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';

const UNAVAILABLE: PlatformError = { type: 'unavailable', message: 'store unavailable' };

/** In-memory store that a test changes; a change of a kind ends the watches of that kind. */
export class WatchableMemoryStore {
  version = 1;

  isUnavailable = false;

  private objects: readonly StoredObject[] = [];

  private readonly watches: { readonly kind: string; end(): void }[] = [];

  /** Writes an object. */
  put(kind: string, name: string, value: unknown = {}): void {
    this.version += 1;
    const others = this.objects.filter((one) => one.kind !== kind || one.name !== name);
    this.objects = [...others, { kind, name, version: this.version, value }];
    this.endWatches(kind);
  }

  /** Removes an object. */
  remove(kind: string, name: string): void {
    this.version += 1;
    this.objects = this.objects.filter((one) => one.kind !== kind || one.name !== name);
    this.endWatches(kind);
  }

  /** Gets the store interface with the calls that followers use. */
  asStore(): WatchableStore {
    const store: Omit<WatchableStore, 'get'> = {
      snapshot: (kind) =>
        this.isUnavailable
          ? new ResultAsync(Promise.resolve(err(UNAVAILABLE)))
          : okAsync({ objects: this.ofKind(kind), version: this.version }),
      put: (kind, name, value, expected) => {
        if (this.isUnavailable) return new ResultAsync(Promise.resolve(err(UNAVAILABLE)));
        const current = this.find(kind, name);
        if ((current?.version ?? 'absent') !== expected) {
          return new ResultAsync(Promise.resolve(err({ type: 'conflict', current })));
        }
        this.put(kind, name, value);
        return okAsync({ kind, name, version: this.version, value });
      },
      remove: (kind, name, expected) => {
        if (this.find(kind, name)?.version === expected) this.remove(kind, name);
        return okAsync(undefined);
      },
      watch: (kind, _after, _waitMs, signal) =>
        new ResultAsync(
          new Promise<Result<WatchBatch, PlatformError>>((resolve) => {
            // A failed watch makes the follower read a new snapshot.
            const end = (): void => resolve(err({ type: 'invalid', message: 'watch ended' }));
            this.watches.push({ kind, end });
            signal.addEventListener('abort', () => resolve(err(UNAVAILABLE)), { once: true });
          }),
        ),
    };
    return store as WatchableStore;
  }

  private find(kind: string, name: string): StoredObject | undefined {
    return this.ofKind(kind).find((one) => one.name === name);
  }

  private ofKind(kind: string): readonly StoredObject[] {
    return this.objects.filter((one) => one.kind === kind);
  }

  private endWatches(kind: string): void {
    this.watches.filter((watch) => watch.kind === kind).forEach((watch) => watch.end());
  }
}
