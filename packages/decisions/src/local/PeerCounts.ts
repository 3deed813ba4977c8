import type { HostId, Millis, ModelId } from '@camphorvane/core';

/**
 * Milliseconds for which a peer's word about its queue counts. Words come within 200 ms; a request that
 * was on time half a second ago is placed, late or gone by now.
 */
const WORD_LIFE_MS: Millis = 500;

/** Name under which the sum of all peers is kept where it comes as one. */
const ALL_PEERS = '';

interface PeerQueues {
  readonly at: Millis;
  readonly onTime: ReadonlyMap<ModelId, number>;
}

/** Knows how many requests wait on other hosts that can still be on time. */
export class WaitingBook {
  private readonly peers = new Map<HostId, PeerQueues>();

  /** Takes in what a peer says that waits on it; it replaces what it said before. */
  hear(peer: HostId, onTime: ReadonlyMap<ModelId, number>, now: Millis): void {
    this.peers.delete(ALL_PEERS);
    this.peers.set(peer, { at: now, onTime });
  }

  /** Takes in what waits on all peers together; it replaces all that any of them said. */
  hearSum(onTime: ReadonlyMap<ModelId, number>, now: Millis): void {
    this.peers.clear();
    this.peers.set(ALL_PEERS, { at: now, onTime });
  }

  /** Gets how many requests for a pool wait on other hosts and can still be on time. */
  countOnTime(model: ModelId, now: Millis): number {
    return [...this.peers.values()]
      .filter(({ at }) => now - at <= WORD_LIFE_MS)
      .reduce((sum, { onTime }) => sum + (onTime.get(model) ?? 0), 0);
  }
}
