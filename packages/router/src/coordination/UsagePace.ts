import type { GossipTimings } from '@camphorvane/decisions';
import type { Millis } from '@camphorvane/core';

/**
 * Shortest time between two messages that carry the usage of teams, in milliseconds. Usage takes up to 2.4 KB.
 * In each hint of a busy host, which sends one every 60 ms, it alone would exceed the budget of the gossip.
 */
const MIN_PERIOD_MS: Millis = 300;

/** Decides which hints, or which rounds of digests, carry the usage of teams. */
export class UsagePace {
  private sentAt: Millis = -Infinity;

  /**
   * Tells whether the message that is sent now carries the usage, and counts it as sent if so.
   *
   * @param timings - Periods of the gossip; in large fleets usage is sent every second period.
   * @param now - Present time.
   */
  takeTurn({ periodMs }: Pick<GossipTimings, 'periodMs'>, now: Millis): boolean {
    if (now - this.sentAt < Math.max(MIN_PERIOD_MS, periodMs / 2)) return false;
    this.sentAt = now;
    return true;
  }
}
