import type { Millis } from '@camphorvane/core';

/**
 * Heartbeats that a server must miss within an outage of the store for its entry to expire. It expires after three; the
 * last one may be more than an interval old as the outage begins.
 */
const MIN_MISSED_HEARTBEATS = 1.75;

/**
 * Gets the shortest outage of the store in which entries may expire.
 *
 * @param heartbeatMs - Interval in milliseconds at which servers renew their entries.
 * @returns Milliseconds.
 */
export function minOutageMs(heartbeatMs: Millis): Millis {
  return heartbeatMs * MIN_MISSED_HEARTBEATS;
}
