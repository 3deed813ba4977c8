import type { Clock, ConnectionLimitOptions, Millis } from '@camphorvane/core';
import type { ConnectionLimits } from '@camphorvane/platform';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';

/** Milliseconds between two lines about closed connections; the counter counts all. */
const LOG_INTERVAL_MS: Millis = 1_000;

const log = eventLog('connections');

/**
 * Bounds the connections of each kind of listener, and records those that are closed for lack of room.
 *
 * @param limits - Most open connections of each.
 * @param metrics - Counts them.
 * @param clock - Spaces the lines in the log.
 * @returns Gets the options of one kind.
 */
export function connectionLimits(
  limits: ConnectionLimits,
  metrics: Metrics,
  clock: Clock,
): (of: keyof ConnectionLimits) => Required<Omit<ConnectionLimitOptions, 'isServing'>> {
  let loggedAt: Millis = -Infinity;
  return (of) => ({
    max: limits[of],
    onClose: () => {
      metrics.count('connections.closed', { of });
      if (clock.now() - loggedAt < LOG_INTERVAL_MS) return;
      loggedAt = clock.now();
      log('closed', { of, max: limits[of] });
    },
  });
}
