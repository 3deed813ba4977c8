import type { HostId, Millis, ServiceId } from '@camphorvane/core';
import { PeerCounts, placeShare } from '@camphorvane/decisions';

/**
 * Milliseconds for which a peer's hint about its calls counts. Hints come every 200 ms, and digests of
 * large fleets up to 700 ms apart; a peer that misses several counts as one that says nothing.
 */
const HINT_LIFE_MS: Millis = 1_500;

/**
 * What the hosts have on plain services, and what each may have.
 *
 * All hosts use the counts that they have sent each other, their own ones too. With its own calls as they
 * are now, each would take more than its part when a burst begins, before it knows of the others'.
 */
export class CallShares {
  private readonly peers = new PeerCounts(HINT_LIFE_MS);

  private reported: ReadonlyMap<ServiceId, number> = new Map();

  private countOwn: () => ReadonlyMap<ServiceId, number> = () => new Map();

  /** Sets what counts the calls that this host has on each service or waiting for it. */
  setOwn(count: () => ReadonlyMap<ServiceId, number>): void {
    this.countOwn = count;
  }

  /** Gets the calls of this host, to be told to its peers. */
  getOwn(): ReadonlyMap<ServiceId, number> {
    this.reported = this.countOwn();
    return this.reported;
  }

  /** Takes in what a peer says of its calls. */
  receive(peer: HostId, calls: ReadonlyMap<ServiceId, number>, now: Millis): void {
    this.peers.receive(peer, calls, now);
  }

  /** Takes in what so many peers have together. */
  receiveSum(calls: ReadonlyMap<ServiceId, number>, peers: number, now: Millis): void {
    this.peers.receiveSum(calls, peers, now);
  }

  /**
   * Gets how many calls this host may have on a service.
   *
   * @param service - The service.
   * @param places - Calls that all servers of the service run at once.
   * @param hosts - All hosts, this one included.
   * @param now - Present time.
   * @returns Places, not rounded.
   */
  shareOf(service: ServiceId, places: number, hosts: number, now: Millis): number {
    const unheard = Math.max(0, hosts - 1 - this.peers.heard(now));
    const others = this.peers.sum(service, now);
    const own = this.reported.get(service) ?? 0;
    return placeShare({ places, own, others, unheard, hosts });
  }
}
