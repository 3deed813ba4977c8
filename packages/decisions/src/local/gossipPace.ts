import type { Millis } from '@camphorvane/core';
import { SERVING_PART } from './isServing.ts';

/** Periods of gossip, and the timeouts that follow from them. */
export interface GossipPace {
  /** Whether hints go through a few relaying hosts, which pass on sums of them. */
  readonly isRelayed: boolean;
  /** Longest time between two hints of a host that takes callers, in milliseconds. */
  readonly periodMs: Millis;
  /** Longest time between two hints of a host that stands by, in milliseconds. */
  readonly standbyPeriodMs: Millis;
  /** Shortest time between two hints where there is news, in milliseconds. */
  readonly gapMs: Millis;
  /** Milliseconds between two digests of a relaying host for a host that takes callers. */
  readonly digestMs: Millis;
  /** Milliseconds between two digests of a relaying host for a host that stands by. */
  readonly standbyDigestMs: Millis;
  /** Milliseconds without a hint or a digest after which what it said does not count any more. */
  readonly silentMs: Millis;
  /** Milliseconds between two writes of a host's record in the store. */
  readonly recordMs: Millis;
  /** Milliseconds between two cheap reads of all records. */
  readonly recordReadMs: Millis;
  /** Milliseconds between two cheap reads of the configuration, and of the servers. */
  readonly pollMs: Millis;
}

/** Hosts up to which each sends hints to all others; their number grows with the square of the fleet. */
const FULL_MESH_UP_TO = 9;

/** Longest and shortest time between two hints of a host in a full mesh. */
const SMALL_PERIOD_MS: Millis = 200;
const SMALL_GAP_MS: Millis = 40;

/** Hints in a second that a relaying host takes in where there is no news. */
const HINTS_PER_SECOND = 120;

/** Shortest time between two hints where there is news, so that a burst does not cost a hint a request. */
const RELAYED_GAP_MS: Millis = 60;

/** Digests in a second that all relaying hosts send together to those that take callers. */
const DIGESTS_PER_SECOND = 500;

const LEAST_DIGEST_MS: Millis = 100;

/** A host that stands by has no request to place, and needs only to know who is there. */
const LEAST_STANDBY_DIGEST_MS: Millis = 500;

/** Factor by which hosts that stand by send hints less often. */
const STANDBY_SLOWDOWN = 2;

const LEAST_PERIOD_MS: Millis = 300;

const LONGEST_PERIOD_MS: Millis = 3_000;

/** Periods without a hint that make a host silent: two lost hints are no sign of death. */
const SILENT_PERIODS = 3;

/** What a hint may be late by, beyond its periods. */
const SILENT_MARGIN_MS: Millis = 200;

/**
 * Records that all hosts together write in a second. Hints show which hosts are up; the records say who
 * shares the rates, which changes seldom.
 */
const RECORDS_PER_SECOND = 1.5;

const LEAST_RECORD_MS: Millis = 3_000;
const LONGEST_RECORD_MS: Millis = 60_000;

/** Times in a second at which any host reads all records; a new host is found so. */
const RECORD_READS_PER_SECOND = 12;

const LEAST_RECORD_READ_MS: Millis = 1_000;
const LONGEST_RECORD_READ_MS: Millis = 7_000;

/** Times in a second at which any host reads the configuration, or the servers, unasked. */
const POLLS_PER_SECOND = 10;

const LEAST_POLL_MS: Millis = 2_000;
const LONGEST_POLL_MS: Millis = 10_000;

const MS_PER_SECOND = 1_000;

/**
 * Gets how often hosts speak in a fleet of a size, so that what each spends on it stays the same.
 *
 * @param hosts - Hosts of the fleet.
 * @returns The pace.
 */
export function gossipPace(hosts: number): GossipPace {
  const isRelayed = hosts > FULL_MESH_UP_TO;
  const gapMs = isRelayed ? RELAYED_GAP_MS : SMALL_GAP_MS;
  const servingHosts = hosts * SERVING_PART;
  const periodMs = isRelayed ? relayedPeriodMs(servingHosts) : SMALL_PERIOD_MS;
  const standbyPeriodMs = isRelayed ? relayedPeriodMs(hosts * STANDBY_SLOWDOWN) : SMALL_PERIOD_MS;
  const digestMs = Math.max(LEAST_DIGEST_MS, everyMs(servingHosts, DIGESTS_PER_SECOND));
  const standbyDigestMs = Math.max(LEAST_STANDBY_DIGEST_MS, everyMs(hosts, DIGESTS_PER_SECOND));
  const recordMs = within(LEAST_RECORD_MS, everyMs(hosts, RECORDS_PER_SECOND), LONGEST_RECORD_MS);
  const recordReadMs = within(
    LEAST_RECORD_READ_MS,
    everyMs(hosts, RECORD_READS_PER_SECOND),
    LONGEST_RECORD_READ_MS,
  );
  const pollMs = within(LEAST_POLL_MS, everyMs(hosts, POLLS_PER_SECOND), LONGEST_POLL_MS);
  const silentMs = hintLifetime(isRelayed ? Math.max(periodMs, standbyDigestMs) : periodMs);
  return {
    ...{ isRelayed, periodMs, standbyPeriodMs, gapMs, digestMs, standbyDigestMs },
    ...{ silentMs, recordMs, recordReadMs, pollMs },
  };
}

/**
 * Gets how long a hint counts.
 *
 * @param nextMs - Milliseconds within which the next one was to come.
 * @returns Milliseconds.
 */
export function hintLifetime(nextMs: Millis): Millis {
  return nextMs * SILENT_PERIODS + SILENT_MARGIN_MS;
}

function relayedPeriodMs(hosts: number): Millis {
  return within(LEAST_PERIOD_MS, everyMs(hosts, HINTS_PER_SECOND), LONGEST_PERIOD_MS);
}

function within(least: Millis, ms: Millis, most: Millis): Millis {
  return Math.min(most, Math.max(least, ms));
}

function everyMs(hosts: number, perSecond: number): Millis {
  return (hosts / perSecond) * MS_PER_SECOND;
}
