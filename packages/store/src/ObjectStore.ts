import type { HostId, ZoneId } from '@camphorvane/core';
import type { ResultAsync } from 'neverthrow';

/** Grows with each write to the store; versions of different objects can be compared. */
export type ObjectVersion = number;

/** An object as stored; the value is JSON of at most a megabyte. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  readonly version: ObjectVersion;
  readonly value: unknown;
}

/** What a conditional write expects to find: a version, or no object. */
export type Expected = ObjectVersion | 'absent';

/**
 * Why a call to the platform failed.
 *
 * `unavailable` after a write means that the write may have taken effect: its answer can be lost,
 * so the caller must read before it concludes anything.
 */
export type PlatformError =
  | { readonly type: 'conflict'; readonly current?: StoredObject }
  | { readonly type: 'unavailable'; readonly message: string }
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

/** What a watch returned: the changes, and where the next watch goes on. */
export interface WatchBatch {
  readonly events: readonly WatchEvent[];
  readonly next: ObjectVersion;
}

/** A host as the platform's lagging list shows it. */
export interface HostEntry {
  readonly id: HostId;
  readonly zone: ZoneId;
  /** Address for callers, `ip:port`. */
  readonly callerAddress: string;
  /** Address for peers, `ip:port`. */
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's object API, as every part of a host uses it. */
export interface ObjectStore {
  /** Reads one object; resolves to undefined where there is none. */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError>;

  /** Writes one object if what is stored is as expected. */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: Expected,
  ): ResultAsync<StoredObject, PlatformError>;

  /** Removes one object if its version is as expected. */
  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError>;

  /** Lists the objects of a kind whose names start with a prefix. */
  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError>;

  /**
   * Waits for changes of a kind after a version.
   *
   * @param kind - The kind to watch.
   * @param after - Report only changes with a higher version.
   * @param waitMs - How long the platform may hold the call when there is no change.
   * @param signal - Ends the wait.
   * @returns The changes in order of version; an empty batch after `waitMs`.
   */
  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError>;

  /** Reads the lagging list of live and leaving hosts. */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError>;
}
