import type { Clock, HostId, Millis, RandomSource } from '@camphorvane/core';
import { gossipTimings, ReadTurns } from '@camphorvane/decisions';
import type { NextPoll } from '@camphorvane/store';
import { MIN_POLL_INTERVAL_MS } from '@camphorvane/store';
import type { HostRoster } from './HostRoster.ts';

/**
 * Mean poll interval in milliseconds while no relay reaches the store. A change must be in force within three
 * seconds of its write, and gossip and the reads of the other hosts take one of them.
 */
const UNWATCHED_POLL_MS: Millis = 1_000;

/** Mean poll interval in milliseconds of a host whose last call failed. */
const UNAVAILABLE_POLL_MS: Millis = 2_000;

/** Consistent reads a second by all polling hosts together while no relay reaches the store. */
const CONSISTENT_READS_PER_SECOND = 3;

const MS_PER_SECOND = 1_000;

/**
 * When a host that does not watch the store polls it, and how.
 *
 * The relays watch, and the others learn of changes by gossip and poll at long intervals. The store may turn
 * all relays away while it serves the others; these then poll often, at different moments, and a few of the
 * reads are consistent, since cheap ones may be seconds old.
 *
 * A relay learns that the store has fallen silent only when its watch times out. So the hosts that don't watch
 * take turns to make a consistent read, at all times.
 */
export class StorePolling {
  private readonly clock: Clock;

  private readonly random: RandomSource;

  private readonly roster: HostRoster;

  private readonly turns: ReadTurns;

  private wasUnwatched = false;

  /**
   * @param self - This host.
   * @param clock - Tells whether digests are recent.
   * @param random - Spreads polls over time.
   * @param roster - Knows the hosts and what the relays report.
   */
  constructor(self: HostId, clock: Clock, random: RandomSource, roster: HostRoster) {
    this.clock = clock;
    this.random = random;
    this.roster = roster;
    this.turns = new ReadTurns(self);
  }

  /**
   * Gets when and how to poll next. A host that reads a change gossips it.
   *
   * @param isUnavailable - Whether the store failed this host's last call; others read for it then.
   */
  next(isUnavailable: boolean): NextPoll {
    const waitMs = this.intervalMs(isUnavailable);
    if (isUnavailable) return { waitMs, isTurn: false };
    this.turns.setPeers(this.roster.getPeers());
    const turnInMs = this.turns.nextInMs(this.clock.wall());
    return turnInMs === undefined || turnInMs > waitMs
      ? { waitMs, isTurn: false }
      : { waitMs: turnInMs, isTurn: true };
  }

  private intervalMs(isUnavailable: boolean): Millis {
    const now = this.clock.now();
    if (isUnavailable) return UNAVAILABLE_POLL_MS * 2 * this.random.next();
    if (this.roster.isStoreUnwatched(now)) return UNWATCHED_POLL_MS * 2 * this.random.next();
    const { pollMs } = gossipTimings(this.roster.countHosts());
    return this.roster.hasFreshDigest(now) ? pollMs : MIN_POLL_INTERVAL_MS;
  }

  /** Tells whether no relay reaches the store. */
  isUnwatched(): boolean {
    return this.roster.isStoreUnwatched(this.clock.now());
  }

  /** Tells whether relays have reported lately, and some of them reach the store. */
  isWatched(): boolean {
    const now = this.clock.now();
    return this.roster.hasFreshDigest(now) && !this.roster.isStoreUnwatched(now);
  }

  /** Gets whether the next poll is a consistent read. */
  freshness(): 'newest' | 'any' {
    if (!this.isUnwatched()) return 'any';
    const pollsPerSecond = (this.roster.countHosts() * MS_PER_SECOND) / UNWATCHED_POLL_MS;
    return this.random.next() < CONSISTENT_READS_PER_SECOND / pollsPerSecond ? 'newest' : 'any';
  }

  /** Tells whether the relays have lost the store since the last call. */
  hasLostWatchers(): boolean {
    const before = this.wasUnwatched;
    this.wasUnwatched = this.isUnwatched();
    return this.wasUnwatched && !before;
  }
}
