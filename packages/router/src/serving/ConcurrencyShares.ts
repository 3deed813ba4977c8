import type { HostId, Millis, ServiceId } from '@camphorvane/core';
import { PeerCounts, concurrencyShare } from '@camphorvane/decisions';

/**
 * Milliseconds for which a peer's load report counts. Peers gossip every 200 ms, and digests of large
 * fleets arrive up to 700 ms apart; a peer that misses several reports has timed out.
 */
const REPORT_TTL_MS: Millis = 1_500;

/**
 * Divides the concurrency slots of plain services among the hosts, by the calls that each has.
 *
 * For its own calls, too, a host uses the count that it last reported. With its current count it would take
 * more than its share at the start of a burst, before it learns of the burst at the other hosts.
 */
export class ConcurrencyShares {
  private readonly peers = new PeerCounts(REPORT_TTL_MS);

  private reported: ReadonlyMap<ServiceId, number> = new Map();

  private countLocalCalls: () => ReadonlyMap<ServiceId, number> = () => new Map();

  /** Sets the function that counts this host's calls by service, both running and waiting. */
  setLocalCounter(count: () => ReadonlyMap<ServiceId, number>): void {
    this.countLocalCalls = count;
  }

  /** Counts the calls of this host, to be reported to its peers. */
  countLocal(): ReadonlyMap<ServiceId, number> {
    this.reported = this.countLocalCalls();
    return this.reported;
  }

  /** Records the calls that a peer reported. */
  receive(peer: HostId, calls: ReadonlyMap<ServiceId, number>, now: Millis): void {
    this.peers.receive(peer, calls, now);
  }

  /** Records the total calls of several peers, as a digest reports them. */
  receiveSum(calls: ReadonlyMap<ServiceId, number>, peers: number, now: Millis): void {
    this.peers.receiveSum(calls, peers, now);
  }

  /**
   * Gets how many calls of a service this host may run at once.
   *
   * @param service - The service.
   * @param concurrency - Concurrency slots: calls that all servers of the service run at once.
   * @param hosts - Number of hosts, this one included.
   * @param now - Present time.
   * @returns Slots, not rounded.
   */
  shareOf(service: ServiceId, concurrency: number, hosts: number, now: Millis): number {
    const silentHosts = Math.max(0, hosts - 1 - this.peers.countPeers(now));
    const peerCalls = this.peers.sum(service, now);
    const ownCalls = this.reported.get(service) ?? 0;
    return concurrencyShare({
      concurrency,
      ownCalls,
      peerCalls,
      silentHosts,
      hosts,
    });
  }
}
