import type { HostId, Millis } from '@camphorvane/core';

/** Name under which the sum of all peers is kept where it comes as one. */
const ALL_PEERS = '';

interface PeerWord {
  readonly at: Millis;
  /** Peers that this word is of. */
  readonly peers: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** Knows what peers count by some name, for as long as their words are fresh. */
export class PeerCounts {
  private readonly words = new Map<HostId, PeerWord>();

  private readonly lifeMs: Millis;

  /** @param lifeMs - Milliseconds for which a word counts. */
  constructor(lifeMs: Millis) {
    this.lifeMs = lifeMs;
  }

  /** Takes in what a peer counts; it replaces what it said before. */
  hear(peer: HostId, counts: ReadonlyMap<string, number>, now: Millis): void {
    this.words.delete(ALL_PEERS);
    this.words.set(peer, { at: now, peers: 1, counts });
  }

  /** Takes in what so many peers count together; it replaces all that any of them said. */
  hearSum(counts: ReadonlyMap<string, number>, peers: number, now: Millis): void {
    this.words.clear();
    this.words.set(ALL_PEERS, { at: now, peers, counts });
  }

  /** Gets what all peers count together that were heard lately. */
  sum(name: string, now: Millis): number {
    return this.fresh(now).reduce((sum, { counts }) => sum + (counts.get(name) ?? 0), 0);
  }

  /** Gets how many peers were heard lately. */
  heard(now: Millis): number {
    return this.fresh(now).reduce((sum, { peers }) => sum + peers, 0);
  }

  private fresh(now: Millis): readonly PeerWord[] {
    return [...this.words.values()].filter(({ at }) => now - at <= this.lifeMs);
  }
}
