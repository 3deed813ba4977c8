import type { HostId, Millis, Tokens, UpstreamId } from '@camphorvane/core';
import type { HeldMemory } from '../relocation/relocationView.ts';
import { gossipTimings } from './gossipTimings.ts';

/** Load that one host has in flight on one engine. */
export interface InFlightLoad {
  /** Prompt tokens that were dispatched and whose prefill has not ended. */
  readonly prefillTokens: Tokens;
  /** Requests that hold a decode slot. */
  readonly streams: number;
  /** KV memory of those requests, in tokens. */
  readonly memoryTokens: Tokens;
  /** What they hold now; absent where it is not tracked. */
  readonly held?: HeldMemory;
}

/** Prompts that were dispatched to an engine and whose prefill has not ended. */
export interface PrefillBacklog {
  /** Tokens that this host has there. */
  readonly own: Tokens;
  /** Tokens that peers had there when they last reported. */
  readonly peers: Tokens;
  /** Age of the newest report of a peer with a prompt there, in milliseconds; infinite without any. */
  readonly peersAgeMs: Millis;
}

/** Load of a host that has nothing in flight on an engine. */
export const NO_LOAD: InFlightLoad = { prefillTokens: 0, streams: 0, memoryTokens: 0 };

/**
 * Shortest lifetime of a peer's report, in milliseconds. A host without a report for longer is dead,
 * partitioned or frozen, and its requests are ending.
 */
const MIN_REPORT_TTL_MS: Millis = 1_500;

/** Key of the sum over all peers, where a relay reports it in their stead. */
const ALL_PEERS = '';

interface PeerReport {
  readonly at: Millis;
  /** Hosts that the report covers. */
  readonly hosts: number;
  readonly loads: ReadonlyMap<UpstreamId, InFlightLoad>;
}

/** Tracks the load that this host and its peers have in flight on each engine. */
export class InFlightTracker {
  private readonly own = new Map<UpstreamId, InFlightLoad>();

  private readonly reports = new Map<HostId, PeerReport>();

  private reportTtl: { readonly hosts: number; readonly ttlMs: Millis } | undefined;

  /** Adds to the load of this host on an engine; negative figures are subtracted, down to zero. */
  adjust(engine: UpstreamId, delta: Partial<InFlightLoad>): void {
    const load = this.own.get(engine) ?? NO_LOAD;
    const next: InFlightLoad = {
      ...load,
      prefillTokens: Math.max(0, load.prefillTokens + (delta.prefillTokens ?? 0)),
      streams: Math.max(0, load.streams + (delta.streams ?? 0)),
      memoryTokens: Math.max(0, load.memoryTokens + (delta.memoryTokens ?? 0)),
    };
    const isEmpty = next.prefillTokens + next.streams + next.memoryTokens === 0;
    if (isEmpty) this.own.delete(engine);
    else this.own.set(engine, next);
  }

  /** Sets what this host's streams hold on each engine that it uses; none where it is not tracked. */
  setHeld(heldByEngine: ReadonlyMap<UpstreamId, HeldMemory>): void {
    [...this.own].forEach(([engine, { held: _, ...load }]) => {
      const held = heldByEngine.get(engine);
      this.own.set(engine, held === undefined ? load : { ...load, held });
    });
  }

  /**
   * Gets what the streams of all hosts hold on an engine, with their growth since the reports. The mean
   * memory stands in for hosts that don't report it.
   */
  getHeld(engine: UpstreamId, now: Millis): HeldMemory {
    const own = heldOf(this.own.get(engine) ?? NO_LOAD, 0);
    return this.freshReports(now)
      .map(({ at, loads }) => heldOf(loads.get(engine) ?? NO_LOAD, now - at))
      .reduce(sumHeld, own);
  }

  /** Stores the report of one peer, in place of its previous one. */
  receive(peer: HostId, loads: ReadonlyMap<UpstreamId, InFlightLoad>, now: Millis): void {
    this.reports.delete(ALL_PEERS);
    this.reports.set(peer, { at: now, hosts: 1, loads });
  }

  /** Stores the sum over all peers, in place of all earlier reports. */
  receiveSum(loads: ReadonlyMap<UpstreamId, InFlightLoad>, hosts: number, now: Millis): void {
    this.reports.clear();
    this.reports.set(ALL_PEERS, { at: now, hosts, loads });
  }

  /** Gets how many hosts have reported so far, this one included. */
  getHostCount(): number {
    return [...this.reports.values()].reduce((sum, report) => sum + report.hosts, 1);
  }

  /** Gets the load of this host on each engine, as reported to its peers. */
  getOwn(): ReadonlyMap<UpstreamId, InFlightLoad> {
    return this.own;
  }

  /** Gets the load of all hosts on an engine, as far as this host knows. */
  getTotal(engine: UpstreamId, now: Millis): InFlightLoad {
    const own = this.own.get(engine) ?? NO_LOAD;
    return this.freshReports(now)
      .map((report) => report.loads.get(engine) ?? NO_LOAD)
      .reduce(sumLoads, own);
  }

  /** Gets the prompts that are waiting for prefill on an engine, and the age of the newest report. */
  getPrefillBacklog(engine: UpstreamId, now: Millis): PrefillBacklog {
    const reported = this.freshReports(now).map(({ at, loads }) => ({
      ageMs: now - at,
      tokens: loads.get(engine)?.prefillTokens ?? 0,
    }));
    const queued = reported.filter(({ tokens }) => tokens > 0);
    return {
      own: this.own.get(engine)?.prefillTokens ?? 0,
      peers: queued.reduce((sum, { tokens }) => sum + tokens, 0),
      peersAgeMs: Math.min(...queued.map(({ ageMs }) => ageMs)),
    };
  }

  private freshReports(now: Millis): readonly PeerReport[] {
    const ttlMs = this.reportTtlMs();
    return [...this.reports.values()].filter((report) => now - report.at <= ttlMs);
  }

  /** Gets the lifetime of reports, which is asked for each engine but changes only with the fleet. */
  private reportTtlMs(): Millis {
    const hosts = this.getHostCount();
    if (this.reportTtl?.hosts !== hosts) {
      const ttlMs = Math.max(MIN_REPORT_TTL_MS, gossipTimings(hosts).gossipTimeoutMs);
      this.reportTtl = { hosts, ttlMs };
    }
    return this.reportTtl.ttlMs;
  }
}

function heldOf({ held, memoryTokens }: InFlightLoad, ageMs: Millis): HeldMemory {
  const { tokens, growthPerMs } = held ?? { tokens: memoryTokens, growthPerMs: 0 };
  return { tokens: tokens + growthPerMs * ageMs, growthPerMs };
}

/** Adds up what two groups of streams hold. */
export function sumHeld(a: HeldMemory, b: HeldMemory): HeldMemory {
  return { tokens: a.tokens + b.tokens, growthPerMs: a.growthPerMs + b.growthPerMs };
}

function sumLoads(a: InFlightLoad, b: InFlightLoad): InFlightLoad {
  return {
    prefillTokens: a.prefillTokens + b.prefillTokens,
    streams: a.streams + b.streams,
    memoryTokens: a.memoryTokens + b.memoryTokens,
  };
}
