import type { HostId, Millis, Tokens, UpstreamId } from '@camphorvane/core';
import { gossipPace } from './gossipPace.ts';

/** What one host has on one engine at present. */
export interface EngineUse {
  /** Prompt tokens that were sent to be read and are not read yet. */
  readonly prefillTokens: Tokens;
  /** Requests that hold a slot for output. */
  readonly streams: number;
  /** Memory of those requests, in tokens. */
  readonly memoryTokens: Tokens;
}

/** Prompts that were sent to an engine to be read, in tokens. */
export interface PromptQueue {
  readonly own: Tokens;
  /** What peers had there when they last said so. */
  readonly peers: Tokens;
  /** Milliseconds since the newest hint of a peer with a prompt there; infinite without any. */
  readonly peersAgeMs: Millis;
}

/** An engine on which a host has nothing. */
export const NO_USE: EngineUse = { prefillTokens: 0, streams: 0, memoryTokens: 0 };

/**
 * Milliseconds for which a peer's hint about its use counts at least. A host that was silent for this
 * long is dead, cut off or frozen, and the requests it had are ending.
 */
const LEAST_HINT_LIFE_MS: Millis = 1_500;

/** Name under which the sum of all peers is kept where it comes as one. */
const ALL_PEERS = '';

interface PeerReport {
  readonly at: Millis;
  /** Hosts whose use it is. */
  readonly hosts: number;
  readonly uses: ReadonlyMap<UpstreamId, EngineUse>;
}

/** Adds up what this host knows that it and its peers have on each engine. */
export class UseBook {
  private readonly own = new Map<UpstreamId, EngineUse>();

  private readonly peers = new Map<HostId, PeerReport>();

  /** Adds to, or with negative figures takes from, what this host has on an engine. */
  change(engine: UpstreamId, by: Partial<EngineUse>): void {
    const use = this.own.get(engine) ?? NO_USE;
    const next: EngineUse = {
      prefillTokens: Math.max(0, use.prefillTokens + (by.prefillTokens ?? 0)),
      streams: Math.max(0, use.streams + (by.streams ?? 0)),
      memoryTokens: Math.max(0, use.memoryTokens + (by.memoryTokens ?? 0)),
    };
    const isEmpty = next.prefillTokens + next.streams + next.memoryTokens === 0;
    if (isEmpty) this.own.delete(engine);
    else this.own.set(engine, next);
  }

  /** Takes in what a peer says that it has; it replaces what the peer said before. */
  receive(peer: HostId, uses: ReadonlyMap<UpstreamId, EngineUse>, now: Millis): void {
    this.peers.delete(ALL_PEERS);
    this.peers.set(peer, { at: now, hosts: 1, uses });
  }

  /** Takes in what all peers together have; it replaces all that any of them said before. */
  receiveSum(uses: ReadonlyMap<UpstreamId, EngineUse>, hosts: number, now: Millis): void {
    this.peers.clear();
    this.peers.set(ALL_PEERS, { at: now, hosts, uses });
  }

  /** Gets how many hosts have said what they have, this one included. */
  getHostCount(): number {
    return [...this.peers.values()].reduce((sum, hint) => sum + hint.hosts, 1);
  }

  /** Gets what this host has on each engine, to be told to its peers. */
  getOwn(): ReadonlyMap<UpstreamId, EngineUse> {
    return this.own;
  }

  /** Gets what all hosts together have on an engine, as far as this host knows. */
  getTotal(engine: UpstreamId, now: Millis): EngineUse {
    const own = this.own.get(engine) ?? NO_USE;
    return this.freshReports(now)
      .map((hint) => hint.uses.get(engine) ?? NO_USE)
      .reduce(addUse, own);
  }

  /** Gets the prompts that wait at an engine, and how old the newest hint of them is. */
  getPromptQueue(engine: UpstreamId, now: Millis): PromptQueue {
    const hints = this.freshReports(now).map(({ at, uses }) => ({
      ageMs: now - at,
      tokens: uses.get(engine)?.prefillTokens ?? 0,
    }));
    const queued = hints.filter(({ tokens }) => tokens > 0);
    return {
      own: this.own.get(engine)?.prefillTokens ?? 0,
      peers: queued.reduce((sum, { tokens }) => sum + tokens, 0),
      peersAgeMs: Math.min(...queued.map(({ ageMs }) => ageMs)),
    };
  }

  private freshReports(now: Millis): readonly PeerReport[] {
    const lifeMs = Math.max(LEAST_HINT_LIFE_MS, gossipPace(this.getHostCount()).silentMs);
    return [...this.peers.values()].filter((hint) => now - hint.at <= lifeMs);
  }
}

function addUse(a: EngineUse, b: EngineUse): EngineUse {
  return {
    prefillTokens: a.prefillTokens + b.prefillTokens,
    streams: a.streams + b.streams,
    memoryTokens: a.memoryTokens + b.memoryTokens,
  };
}
