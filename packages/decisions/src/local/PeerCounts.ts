import type { HostId, Millis } from '@camphorvane/core';

/** Name under which the sum of all peers is kept where it comes as one. */
const ALL_PEERS = '';

interface PeerReport {
  readonly at: Millis;
  /** Peers that this hint is of. */
  readonly peers: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** Knows what peers count by some name, for as long as their hints are fresh. */
export class PeerCounts {
  private readonly hints = new Map<HostId, PeerReport>();

  private readonly lifeMs: Millis;

  /** @param lifeMs - Milliseconds for which a hint counts. */
  constructor(lifeMs: Millis) {
    this.lifeMs = lifeMs;
  }

  /** Takes in what a peer counts; it replaces what it said before. */
  receive(peer: HostId, counts: ReadonlyMap<string, number>, now: Millis): void {
    this.hints.delete(ALL_PEERS);
    this.hints.set(peer, { at: now, peers: 1, counts });
  }

  /** Takes in what so many peers count together; it replaces all that any of them said. */
  receiveSum(counts: ReadonlyMap<string, number>, peers: number, now: Millis): void {
    this.hints.clear();
    this.hints.set(ALL_PEERS, { at: now, peers, counts });
  }

  /** Gets what all peers count together that were heard lately. */
  sum(name: string, now: Millis): number {
    return this.fresh(now).reduce((sum, { counts }) => sum + (counts.get(name) ?? 0), 0);
  }

  /** Gets how many peers were heard lately. */
  heard(now: Millis): number {
    return this.fresh(now).reduce((sum, { peers }) => sum + peers, 0);
  }

  private fresh(now: Millis): readonly PeerReport[] {
    return [...this.hints.values()].filter(({ at }) => now - at <= this.lifeMs);
  }
}
