import type { Clock, Millis, RandomSource } from '@camphorvane/core';
import type { ObjectVersion, StoredObject } from '../ObjectStore.ts';
import type { StoreContact } from './StoreContact.ts';
import type { Snapshot, WatchableStore } from './WatchableStore.ts';

/** The local copy of a kind after a successful read or watch. */
export interface KindCopy {
  readonly objects: ReadonlyMap<string, StoredObject>;
}

/**
 * How a follower detects changes: by a watch, which returns with each change, or by polling with
 * cheap, possibly stale reads. A few hosts of a fleet watch and gossip the newest version to the rest.
 */
export type FollowMode = 'watch' | 'poll';

/** Where a follower got a version from. */
export type CopySource = 'store' | 'peer';

/** When a follower polls next, and how. */
export interface NextPoll {
  /** Milliseconds until then, while no peer reports a newer version. */
  readonly waitMs: Millis;
  /** Whether the poll must be answered with the newest copy, since it is this host's turn to look for changes. */
  readonly isTurn: boolean;
}

/** Poll interval in milliseconds of a host that gets no versions from peers. */
export const MIN_POLL_INTERVAL_MS: Millis = 2_000;

/** How a follower polls that has nothing to decide it. */
export const DEFAULT_POLL: NextPoll = { waitMs: MIN_POLL_INTERVAL_MS, isTurn: false };

/** Retry delays in milliseconds while the store is unavailable; short, so that changes take effect soon. */
export const STORE_RETRY = { baseMs: 100, maxMs: 500 };

/** Settings of `KindFollower`. */
export interface KindFollowerOptions {
  readonly store: WatchableStore;
  readonly kind: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Records the responses to all calls of the host; those to this follower alone where absent. */
  readonly contact?: StoreContact;
  /** Maximum duration of one watch, in milliseconds. */
  readonly watchMs: Millis;
  /** Gets the current mode; `watch` where absent. */
  readonly mode?: () => FollowMode;
  /**
   * Gets when to poll next.
   *
   * @param isUnavailable - Whether the last call to the store failed.
   */
  readonly nextPoll?: (isUnavailable: boolean) => NextPoll;
  /** Gets whether a poll out of turn may be answered with a stale copy; `any` where absent. */
  readonly pollFreshness?: () => 'newest' | 'any';
  /** Tells whether peers learn of changes late, so that catching up must not wait for stale copies. */
  readonly isUnwatched?: () => boolean;
  /**
   * Reads a copy of the kind from peers while the store has not given this host a version that they report.
   *
   * @returns A copy of at least the wanted version if a peer has one, else the newest one found.
   */
  readonly readFromPeers?: (
    kind: string,
    wanted: ObjectVersion,
    known: ObjectVersion,
  ) => Promise<Snapshot | undefined>;
  /** Called after each successful read or watch. */
  readonly onSync: (kind: KindCopy) => void;
  /** Called when this copy has a version that peers had reported, with the milliseconds it lacked it and its source. */
  readonly onCaughtUp?: (behindMs: Millis, source: CopySource) => void;
  /** Called when the store becomes unavailable, with the reason, and when it is available again. */
  readonly onStoreState?: (state: 'lost' | 'regained', reason: string) => void;
}
