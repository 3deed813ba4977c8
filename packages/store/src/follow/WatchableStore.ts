import type { ResultAsync } from 'neverthrow';
import type { ObjectStore, ObjectVersion, PlatformError, StoredObject } from '../ObjectStore.ts';

/** All objects of a kind, and the version of the store at which they were read. */
export interface Snapshot {
  readonly objects: readonly StoredObject[];
  readonly version: ObjectVersion;
}

/** The calls of a store by which objects of a kind are followed and own ones kept. */
export interface WatchableStore extends Pick<ObjectStore, 'get' | 'put' | 'remove' | 'watch'> {
  /**
   * Reads all objects of a kind.
   *
   * @param kind - The kind.
   * @param freshness - `newest` for what is stored now; `any` for a cheap answer that may be old.
   * @returns The objects.
   */
  snapshot(kind: string, freshness: 'newest' | 'any'): ResultAsync<Snapshot, PlatformError>;
}
