import type { HostId, Millis } from '@camphorvane/core';

/** Key of the sum over all peers, where a relay reports it in their stead. */
const ALL_PEERS = '';

interface PeerReport {
  readonly at: Millis;
  /** Peers that the report covers. */
  readonly peers: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** Keeps the counters that peers report, by name, and drops reports that are too old. */
export class PeerCounts {
  private readonly reports = new Map<HostId, PeerReport>();

  private readonly ttlMs: Millis;

  /** @param ttlMs - Lifetime of a report, in milliseconds. */
  constructor(ttlMs: Millis) {
    this.ttlMs = ttlMs;
  }

  /** Stores the counters of one peer, in place of its previous ones. */
  receive(peer: HostId, counts: ReadonlyMap<string, number>, now: Millis): void {
    this.reports.delete(ALL_PEERS);
    this.reports.set(peer, { at: now, peers: 1, counts });
  }

  /** Stores the sums over several peers, in place of all earlier reports. */
  receiveSum(counts: ReadonlyMap<string, number>, peers: number, now: Millis): void {
    this.reports.clear();
    this.reports.set(ALL_PEERS, { at: now, peers, counts });
  }

  /** Gets the sum of a counter over the peers that reported lately. */
  sum(name: string, now: Millis): number {
    return this.fresh(now).reduce((sum, { counts }) => sum + (counts.get(name) ?? 0), 0);
  }

  /** Gets how many peers reported lately. */
  countPeers(now: Millis): number {
    return this.fresh(now).reduce((sum, { peers }) => sum + peers, 0);
  }

  private fresh(now: Millis): readonly PeerReport[] {
    return [...this.reports.values()].filter(({ at }) => now - at <= this.ttlMs);
  }
}
