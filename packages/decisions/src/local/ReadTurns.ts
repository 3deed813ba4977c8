import type { HostId, Millis } from '@camphorvane/core';
import { rendezvousOrder } from '@camphorvane/core';

/**
 * Milliseconds between the turns of two hosts. Where the store serves two hosts in three, no more than about a
 * second passes without an answer, and a change must be in force everywhere within two or three.
 */
export const READ_TURN_MS: Millis = 333;

/** Any constant: it mixes the availability zones, so that a zone without the store misses no run of turns. */
const ORDER_KEY = 'read-turns';

/** When a host reads the store to look for changes that those who watch it may have missed. */
export class ReadTurns {
  private readonly self: HostId;

  private peers: readonly HostId[] | undefined;

  private hostCount = 0;

  private index = -1;

  /** @param self - This host. */
  constructor(self: HostId) {
    this.self = self;
  }

  /** Sets the other hosts that take turns; an array that was set before is not read again. */
  setPeers(peers: readonly HostId[]): void {
    if (peers === this.peers) return;
    this.peers = peers;
    this.hostCount = peers.length + 1;
    this.index = rendezvousOrder(ORDER_KEY, [this.self, ...peers]).indexOf(this.self);
  }

  /**
   * Gets when the next turn of this host begins. The hosts agree on it by the time of day alone; clocks that
   * differ only make turns uneven.
   *
   * @param timeOfDay - Milliseconds since the Unix epoch.
   * @returns Milliseconds from then, 1 or more; undefined while the other hosts are not known.
   */
  nextInMs(timeOfDay: Millis): Millis | undefined {
    if (this.index < 0) return undefined;
    const roundMs = this.hostCount * READ_TURN_MS;
    const sinceMs = (Math.floor(timeOfDay) - this.index * READ_TURN_MS) % roundMs;
    return roundMs - (sinceMs < 0 ? sinceMs + roundMs : sinceMs);
  }
}
