import type { HostId, ZoneId } from '@camphorvane/core';
import type { ResultAsync } from 'neverthrow';

/** Store-wide version that increases with each write; comparable between objects. */
export type ObjectVersion = number;

/**
 * Tells whether a value is a version. One that is too large to be counted up is none: a host that took it for the newest
 * would wait for a newer one for good.
 *
 * @param value - The value.
 */
export function isVersion(value: unknown): value is ObjectVersion {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** A stored object; its value is JSON of at most 1 MB. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  readonly version: ObjectVersion;
  readonly value: unknown;
}

/** Precondition of a write: the current version, or that no object exists. */
export type ExpectedVersion = ObjectVersion | 'absent';

/**
 * Why a call to the platform failed.
 *
 * After `unavailable` a write may have taken effect, since its response may be lost; the caller must
 * read the object to find out.
 */
export type PlatformError =
  | { readonly type: 'conflict'; readonly current?: StoredObject }
  | {
      readonly type: 'unavailable';
      readonly message: string;
      /** True where the platform itself responded, with a failure or with something unreadable. */
      readonly hasResponded?: true;
    }
  | { readonly type: 'over_budget'; readonly retryAfterMs: number }
  | { readonly type: 'invalid'; readonly message: string };

/** One change that a watch reports. */
export type WatchEvent =
  | { readonly type: 'put'; readonly object: StoredObject }
  | {
      readonly type: 'removed';
      readonly kind: string;
      readonly name: string;
      readonly version: ObjectVersion;
    };

/** Result of a watch: the changes, and the version from which the next watch continues. */
export interface WatchBatch {
  readonly events: readonly WatchEvent[];
  readonly next: ObjectVersion;
}

/** A host in the platform's eventually consistent host list. */
export interface HostEntry {
  readonly id: HostId;
  readonly zone: ZoneId;
  /** Address for callers, `ip:port`. */
  readonly callerAddress: string;
  /** Address for peers, `ip:port`. */
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's object API, as used by all components of a host. */
export interface ObjectStore {
  /** Reads one object; resolves to undefined where there is none. */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError>;

  /** Writes one object if its stored state matches `expected`. */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): ResultAsync<StoredObject, PlatformError>;

  /** Removes one object if its version matches `expected`. */
  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError>;

  /** Lists the objects of a kind whose names start with a prefix. */
  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError>;

  /**
   * Waits for changes of a kind after a version.
   *
   * @param kind - The kind to watch.
   * @param after - Version after which changes are reported.
   * @param waitMs - Maximum wait for a change, in milliseconds.
   * @param signal - Aborts the wait.
   * @returns The changes in order of version; an empty batch after `waitMs`.
   */
  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError>;

  /** Reads the eventually consistent list of live and leaving hosts. */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError>;
}
