import type { Clock, Millis, OverloadPolicy, RandomSource } from '@camphorvane/core';
import type { UpstreamAdmission } from '@camphorvane/decisions';
import type {
  DeploymentFormat,
  FollowMode,
  KindFollowerOptions,
  StoreContact,
  WatchableStore,
} from '@camphorvane/store';

/** Options of a `DeploymentFeed`. */
export interface DeploymentFeedOptions {
  readonly store: WatchableStore;
  readonly format: DeploymentFormat;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Records the store's responses to all calls of the host; those to the feed alone where absent. */
  readonly contact?: StoreContact;
  /** Interval in milliseconds at which servers renew their entries. */
  readonly heartbeatMs: Millis;
  /**
   * Milliseconds without an answer of the store after which no API key is accepted; undefined where
   * a host that is cut off from the store goes on accepting the keys that it knows.
   */
  readonly strictKeysMs: Millis | undefined;
  /**
   * Timeout of one watch, in milliseconds. A watch can stop delivering events without an error;
   * changes are then only seen when it ends. A shorter timeout costs more calls to the store.
   */
  readonly watchMs: Millis;
  /** Gets whether this host watches or polls the store. */
  readonly mode: () => FollowMode;
  /** See {@link KindFollowerOptions.nextPoll}. */
  readonly nextPoll: KindFollowerOptions['nextPoll'];
  /** See {@link KindFollowerOptions.pollFreshness}. */
  readonly pollFreshness?: KindFollowerOptions['pollFreshness'];
  /** See {@link KindFollowerOptions.isUnwatched}. */
  readonly isUnwatched?: KindFollowerOptions['isUnwatched'];
  /** Tells whether peers that watch the store have been heard of lately; not where absent. */
  readonly isWatchedByPeers?: () => boolean;
  /** Called when this host has learned of a change in the store, by itself or from a peer. */
  readonly onStateChange: () => void;
  /** Whether operators may drain availability zones. */
  readonly drainsZones: boolean;
  /** Controls for overload that the host's settings switch on; none where absent. */
  readonly overload?: OverloadPolicy;
  /** See {@link KindFollowerOptions.readFromPeers}. */
  readonly readFromPeers?: KindFollowerOptions['readFromPeers'];
  /** Notified of servers that have just started, and of those that are listed. */
  readonly admission: UpstreamAdmission;
}
