import type { Millis } from '@camphorvane/core';
import { SERVING_FRACTION } from './isServing.ts';

/** Periods of gossip and of store access, and the timeouts that follow from them. */
export interface GossipTimings {
  /** Whether gossip goes through a few relays, which pass on digests of it, instead of a full mesh. */
  readonly isRelayed: boolean;
  /** Longest time between two gossip messages of a serving host, in milliseconds. */
  readonly periodMs: Millis;
  /** Longest time between two gossip messages of a standby host, in milliseconds. */
  readonly standbyPeriodMs: Millis;
  /** Shortest time between two gossip messages of a host whose state has changed, in milliseconds. */
  readonly gapMs: Millis;
  /** Milliseconds between two digests of a relay for a serving host. */
  readonly digestMs: Millis;
  /** Milliseconds between two digests of a relay for a standby host. */
  readonly standbyDigestMs: Millis;
  /** Milliseconds without a gossip message or digest after which the last one is discarded. */
  readonly gossipTimeoutMs: Millis;
  /** Milliseconds between two writes of the record of a host in the store. */
  readonly recordMs: Millis;
  /** Milliseconds between two reads of all records, which may be slightly stale. */
  readonly recordReadMs: Millis;
  /** Milliseconds between two reads of the configuration, or of the servers, which may be slightly stale. */
  readonly pollMs: Millis;
}

/** Largest fleet with a full mesh, in hosts; its messages grow with the square of the fleet. */
const FULL_MESH_MAX_HOSTS = 9;

/** Longest and shortest time between two gossip messages of a host in a full mesh. */
const FULL_MESH_PERIOD_MS: Millis = 200;
const FULL_MESH_GAP_MS: Millis = 40;

/** Gossip messages per second that a relay receives while no host has changes to report. */
const RELAY_MESSAGES_PER_SECOND = 120;

/** Shortest time between two messages to relays, so that a burst does not send one for each request. */
const RELAYED_GAP_MS: Millis = 60;

/** Digests per second that all relays together send to serving hosts. */
const DIGESTS_PER_SECOND = 500;

const MIN_DIGEST_MS: Millis = 100;

/** Longer than for serving hosts: a standby host places no requests and needs only the membership. */
const MIN_STANDBY_DIGEST_MS: Millis = 500;

/** Factor by which the gossip period of standby hosts is longer. */
const STANDBY_SLOWDOWN = 2;

const MIN_RELAYED_PERIOD_MS: Millis = 300;
const MAX_RELAYED_PERIOD_MS: Millis = 3_000;

/** Periods without a message after which a host times out: two lost messages are no sign of a crash. */
const TIMEOUT_PERIODS = 3;

/** Delay of a message that is tolerated on top of those periods. */
const TIMEOUT_MARGIN_MS: Millis = 200;

/**
 * Records per second that all hosts together write. Few, since gossip shows which hosts are up, and the
 * records only which hosts share the rates.
 */
const RECORD_WRITES_PER_SECOND = 1.5;

const MIN_RECORD_MS: Millis = 3_000;
const MAX_RECORD_MS: Millis = 60_000;

/** Reads of all records per second, over all hosts; new hosts are discovered by them. */
const RECORD_READS_PER_SECOND = 12;

const MIN_RECORD_READ_MS: Millis = 1_000;
const MAX_RECORD_READ_MS: Millis = 7_000;

/** Reads of the configuration, or of the servers, per second, over all hosts. */
const POLLS_PER_SECOND = 10;

const MIN_POLL_MS: Millis = 2_000;
const MAX_POLL_MS: Millis = 10_000;

const MS_PER_SECOND = 1_000;

/**
 * Gets the periods for a fleet of a given size. They grow with the fleet, so that each host spends the
 * same on gossip and store access.
 *
 * @param hosts - Number of hosts in the fleet.
 * @returns Periods and timeouts.
 */
export function gossipTimings(hosts: number): GossipTimings {
  const isRelayed = hosts > FULL_MESH_MAX_HOSTS;
  const gapMs = isRelayed ? RELAYED_GAP_MS : FULL_MESH_GAP_MS;
  const servingHosts = hosts * SERVING_FRACTION;
  const periodMs = isRelayed ? relayedPeriodMs(servingHosts) : FULL_MESH_PERIOD_MS;
  const standbyPeriodMs = isRelayed
    ? relayedPeriodMs(hosts * STANDBY_SLOWDOWN)
    : FULL_MESH_PERIOD_MS;
  const digestMs = Math.max(MIN_DIGEST_MS, intervalMs(servingHosts, DIGESTS_PER_SECOND));
  const standbyDigestMs = Math.max(MIN_STANDBY_DIGEST_MS, intervalMs(hosts, DIGESTS_PER_SECOND));
  const recordMs = clamp(MIN_RECORD_MS, intervalMs(hosts, RECORD_WRITES_PER_SECOND), MAX_RECORD_MS);
  const recordReadMs = clamp(
    MIN_RECORD_READ_MS,
    intervalMs(hosts, RECORD_READS_PER_SECOND),
    MAX_RECORD_READ_MS,
  );
  const pollMs = clamp(MIN_POLL_MS, intervalMs(hosts, POLLS_PER_SECOND), MAX_POLL_MS);
  const gossipTimeoutMs = gossipTtlMs(isRelayed ? Math.max(periodMs, standbyDigestMs) : periodMs);
  return {
    ...{ isRelayed, periodMs, standbyPeriodMs, gapMs, digestMs, standbyDigestMs },
    ...{ gossipTimeoutMs, recordMs, recordReadMs, pollMs },
  };
}

/**
 * Gets the lifetime of a gossip message.
 *
 * @param nextMs - Milliseconds within which the next message is due.
 * @returns Milliseconds after which the message is discarded.
 */
export function gossipTtlMs(nextMs: Millis): Millis {
  return nextMs * TIMEOUT_PERIODS + TIMEOUT_MARGIN_MS;
}

function relayedPeriodMs(hosts: number): Millis {
  return clamp(
    MIN_RELAYED_PERIOD_MS,
    intervalMs(hosts, RELAY_MESSAGES_PER_SECOND),
    MAX_RELAYED_PERIOD_MS,
  );
}

function clamp(min: Millis, ms: Millis, max: Millis): Millis {
  return Math.min(max, Math.max(min, ms));
}

/** Gets the interval at which each host acts so that all hosts together reach a rate. */
function intervalMs(hosts: number, perSecond: number): Millis {
  return (hosts / perSecond) * MS_PER_SECOND;
}
