import type { ResultAsync } from 'neverthrow';
import type { ObjectStore, ObjectVersion, PlatformError, StoredObject } from '../ObjectStore.ts';

/** All objects of a kind at one version of the store. */
export interface Snapshot {
  readonly objects: readonly StoredObject[];
  readonly version: ObjectVersion;
}

/** The store operations needed to follow the objects of a kind and to write a host's own object. */
export interface WatchableStore extends Pick<ObjectStore, 'get' | 'put' | 'remove' | 'watch'> {
  /**
   * Reads all objects of a kind.
   *
   * @param kind - The kind.
   * @param freshness - `newest` for a consistent read; `any` for a cheap read that may be stale.
   * @returns The objects and the version of the store.
   */
  snapshot(kind: string, freshness: 'newest' | 'any'): ResultAsync<Snapshot, PlatformError>;
}
