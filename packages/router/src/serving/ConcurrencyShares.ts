import type { HostId, Millis, ServiceId } from '@camphorvane/core';
import { PeerCounts, concurrencyShare, slotShare } from '@camphorvane/decisions';

/**
 * Milliseconds for which a peer's load report counts. Peers gossip every 200 ms, and digests of large
 * fleets arrive up to 700 ms apart; a peer that misses several reports has timed out.
 */
const REPORT_TTL_MS: Millis = 1_500;

/** Fraction by which this host's calls must have changed since its last report for an early report. */
const NOTABLE_CHANGE = 0.25;

/**
 * Divides the concurrency slots of plain services among the hosts, by the calls that each has.
 *
 * For its own calls, too, a host uses the count that it last reported. With its current count it would take
 * more than its share at the start of a burst, before it learns of the burst at the other hosts.
 */
export class ConcurrencyShares {
  private readonly peers = new PeerCounts(REPORT_TTL_MS);

  private reported: ReadonlyMap<ServiceId, number> = new Map();

  private onChange: () => void = () => undefined;

  private countLocalCalls: () => ReadonlyMap<ServiceId, number> = () => new Map();

  /** Sets the function that counts this host's calls by service, both running and waiting. */
  setLocalCounter(count: () => ReadonlyMap<ServiceId, number>): void {
    this.countLocalCalls = count;
  }

  /** Sets the function that is called when this host's calls differ notably from those that it reported last. */
  setChangeListener(listener: () => void): void {
    this.onChange = listener;
  }

  /** Records the present calls of this host, so that its peers learn of a notable change soon. */
  recordDemand(service: ServiceId, calls: number): void {
    const reported = this.reported.get(service) ?? 0;
    const change = Math.abs(calls - reported);
    if (change >= Math.max(1, reported * NOTABLE_CHANGE)) this.onChange();
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
    const silentHosts = this.countSilent(hosts, now);
    const ownCalls = this.reported.get(service) ?? 0;
    const peerCalls = this.peers.sum(service, now);
    return concurrencyShare({ concurrency, ownCalls, peerCalls, silentHosts, hosts });
  }

  /**
   * Gets how many calls of a service this host may run at once on average, where the shares of the hosts
   * that take callers are to sum to the slots. Standby hosts have no calls and get no equal share.
   *
   * @param service - The service.
   * @param concurrency - Concurrency slots: calls that all servers of the service run at once.
   * @param fleet - Number of all hosts, and of those that take callers, this one included.
   * @param now - Present time.
   * @param ownCalls - Calls of this host; by default those that it reported last.
   * @returns Slots, not rounded.
   */
  slotShareOf(
    service: ServiceId,
    concurrency: number,
    { hosts, serving }: { readonly hosts: number; readonly serving: number },
    now: Millis,
    ownCalls = this.reported.get(service) ?? 0,
  ): number {
    const silentHosts = (this.countSilent(hosts, now) * serving) / Math.max(1, hosts);
    return slotShare({
      ...{ concurrency, ownCalls, silentHosts, hosts: serving },
      peerCalls: this.peers.sum(service, now),
    });
  }

  private countSilent(hosts: number, now: Millis): number {
    return Math.max(0, hosts - 1 - this.peers.countPeers(now));
  }
}
