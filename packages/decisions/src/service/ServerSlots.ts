import type { Millis, RandomSource, UpstreamId } from '@camphorvane/core';
import type { ServerChooser } from './CompletionEstimator.ts';
import { mergeOpenings, takeOpening } from '../signals/openings.ts';
import type { Opening } from '../signals/openings.ts';

/** A server of a plain service, with this host's limits on it. */
export interface ServiceQueueServer {
  readonly id: UpstreamId;
  /** Most calls in flight from this host to the server. */
  readonly limit: number;
  /** Calls that this host may still send to the server now; absent if only the limit applies. */
  readonly allowance?: number;
  /** When this host may send to the server; absent where the server has asked for nothing. */
  readonly openings?: readonly Opening[];
  /** Whether other servers are to be used first; by default not. */
  readonly isReluctant?: boolean;
}

interface ServerState {
  readonly limit: number;
  inFlight: number;
  /** Calls that may still be sent to the server. */
  allowance: number;
  /** When calls may be sent to the server; undefined where it has asked for nothing. */
  openings: readonly Opening[] | undefined;
  readonly isReluctant: boolean;
  /** Time until which other servers are preferred, since a call failed on this one. */
  cooldownUntil: Millis;
}

/** Milliseconds for which other servers are preferred to one on which a call failed. */
const FAILURE_COOLDOWN_MS: Millis = 1_000;

/** The servers of a plain service, with the calls that this host has in flight to each. */
export class ServerSlots {
  private readonly random: RandomSource;

  private readonly chooser: ServerChooser | undefined;

  private readonly servers = new Map<UpstreamId, ServerState>();

  /** Most calls in flight from this host to all servers together. */
  private maxInFlight = Infinity;

  /**
   * @param random - Breaks ties between equally loaded servers.
   * @param chooser - Chooses among free servers; where it does not, the least loaded one is taken.
   */
  constructor(random: RandomSource, chooser?: ServerChooser) {
    this.random = random;
    this.chooser = chooser;
  }

  /** Applies changed servers and limits; see `ServiceQueue.reconfigure`. */
  reconfigure(servers: readonly ServiceQueueServer[], maxInFlight: number): void {
    this.maxInFlight = maxInFlight;
    const kept = servers.map((server): [UpstreamId, ServerState] => {
      const old = this.servers.get(server.id);
      const state = { inFlight: old?.inFlight ?? 0, cooldownUntil: old?.cooldownUntil ?? 0 };
      const { limit, allowance = Infinity, openings, isReluctant = false } = server;
      return [server.id, { ...state, limit, allowance, openings, isReluctant }];
    });
    this.servers.clear();
    kept.forEach(([id, state]) => this.servers.set(id, state));
  }

  /** Gets the number of servers. */
  get serverCount(): number {
    return this.servers.size;
  }

  /** Gets the number of calls in flight. */
  get inFlightCount(): number {
    return [...this.servers.values()].reduce((sum, { inFlight }) => sum + inFlight, 0);
  }

  /** Gets whether the calls in flight have reached the bound for all servers together. */
  get isFull(): boolean {
    return this.inFlightCount >= this.maxInFlight;
  }

  /** Gets whether a server has asked for nothing. */
  get hasUnrestrictedServer(): boolean {
    return [...this.servers.values()].some(({ openings }) => openings === undefined);
  }

  /** Tells whether a call could start now that is not to go to some servers. */
  hasRoom(avoid: readonly UpstreamId[] = []): boolean {
    if (this.isFull) return false;
    return [...this.servers].some(([id, state]) => hasCapacity(state) && !avoid.includes(id));
  }

  /** Gets the fraction of the slots on servers on which no call has failed lately; 1 without any. */
  getHealthyFraction(now: Millis): number {
    const states = [...this.servers.values()];
    const sum = (some: readonly ServerState[]): number =>
      some.reduce((total, { limit }) => total + limit, 0);
    const healthy = sum(states.filter(({ cooldownUntil }) => cooldownUntil <= now));
    return healthy === 0 ? 1 : healthy / sum(states);
  }

  /** Gets the openings of the servers that a call may go to; undefined where one has asked for nothing. */
  openingsFor(avoid: readonly UpstreamId[]): readonly Opening[] | undefined {
    const candidates = [...this.servers].filter(([id]) => !avoid.includes(id));
    // Without a candidate the call waits: a new server may be listed.
    if (candidates.length === 0) return undefined;
    return mergeOpenings(candidates.map(([, { openings }]) => openings));
  }

  /**
   * Takes a slot of a server.
   *
   * @param server - The server.
   * @returns Whether the server takes few calls.
   */
  take(server: UpstreamId): boolean {
    const state = this.servers.get(server);
    if (state === undefined) return false;
    state.inFlight += 1;
    state.allowance -= 1;
    if (state.openings === undefined) return false;
    state.openings = takeOpening(state.openings);
    return true;
  }

  /** Frees a slot of a server. */
  free(server: UpstreamId, failed: boolean, now: Millis): void {
    const state = this.servers.get(server);
    if (state === undefined) return;
    state.inFlight = Math.max(0, state.inFlight - 1);
    if (failed) state.cooldownUntil = now + FAILURE_COOLDOWN_MS;
  }

  /**
   * Chooses the least loaded server with free capacity; a reluctant one only if no other has any,
   * and one that failed lately only after these.
   *
   * Ties are broken at random. In a large fleet, each host has no calls on most servers most of the
   * time; if all hosts took the first of the list, that server would get twice the calls of the others.
   */
  choose(avoid: readonly UpstreamId[], now: Millis): UpstreamId | undefined {
    const candidates = [...this.servers]
      .filter(([id, state]) => hasCapacity(state) && !avoid.includes(id))
      .map(([id, state]) => ({ id, state, tieBreaker: this.random.next() }))
      .sort((a, b) => loadOf(a.state) - loadOf(b.state) || a.tieBreaker - b.tieBreaker);
    const healthy = candidates.filter(({ state }) => state.cooldownUntil <= now);
    const free = healthy.filter(({ state }) => !state.isReluctant);
    const preferred = [free, healthy, candidates].find((list) => list.length > 0) ?? [];
    const options = preferred.map(({ id, state }) => ({ id, ...state }));
    return this.chooser?.(options, now) ?? preferred[0]?.id;
  }
}

function hasCapacity({ inFlight, limit, allowance }: ServerState): boolean {
  return inFlight < limit && allowance > 0;
}

function loadOf({ inFlight, limit }: ServerState): number {
  return inFlight / limit;
}
