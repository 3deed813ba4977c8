import type { Millis, Refusal, RequestId, TeamId, UpstreamId, WorkClass } from '@camphorvane/core';
import { notRun, RandomSource } from '@camphorvane/core';
import { mergeOpenings, refusalWithoutOpening, takeOpening } from '../signals/openings.ts';
import type { Opening } from '../signals/openings.ts';
import type { ServerChooser } from './CompletionEstimator.ts';

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

/** A call to be dispatched to a server. */
export interface ServiceQueueCall {
  readonly request: RequestId;
  readonly team: TeamId;
  readonly class: WorkClass;
  /** Longest time in the queue, in milliseconds. */
  readonly maxWaitMs: Millis;
  /** Time from which a dispatch would make the answer late; absent if it never would. */
  readonly lateAt?: Millis;
  /** Servers not to choose, since this call has failed on them. */
  readonly avoid: readonly UpstreamId[];
}

/** The decision for a queued call. */
export type ServiceQueueDecision =
  | {
      readonly type: 'place';
      readonly request: RequestId;
      readonly server: UpstreamId;
      readonly waitedMs: Millis;
    }
  | { readonly type: 'refuse'; readonly request: RequestId; readonly refusal: Refusal };

interface QueueEntry {
  readonly call: ServiceQueueCall;
  readonly queuedAt: Millis;
  readonly timeoutAt: Millis;
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

/**
 * Most calls queued for a service on one host. Calls take tens of milliseconds, so a longer queue
 * would only hold calls whose callers have given up.
 */
const MAX_QUEUED = 256;

/** Most queued calls of one team: a quarter of the queue, so that a burst leaves room for others. */
const MAX_QUEUED_PER_TEAM = 64;

/** Milliseconds for which other servers are preferred to one on which a call failed. */
const FAILURE_COOLDOWN_MS: Millis = 1_000;

const RETRY_AFTER_MS: Millis = 500;

const NO_SERVER_OPENS = {
  text: 'The servers of this service take no more calls in time.',
  retryAfterMs: RETRY_AFTER_MS,
};

/** Milliseconds for which a call counts against its team where servers take few calls. */
const RECENT_CALL_MS: Millis = 4_000;

const CLASSES_BY_PRIORITY: readonly WorkClass[] = ['lookup', 'certificate', 'summary'];

/**
 * Queue of a plain service's calls on one host, which dispatches each call to the least loaded server.
 *
 * Within a class the team with the fewest calls in flight goes first, so that a burst of one team on
 * servers with little concurrency delays mostly that team. A call that is late already yields to those
 * that can still be on time, and takes only capacity that none of them needs.
 */
export class ServiceQueue {
  private readonly random: RandomSource;

  private readonly chooser: ServerChooser | undefined;

  private readonly servers = new Map<UpstreamId, ServerState>();

  private readonly inFlightByTeam = new Map<TeamId, number>();

  /** Recent calls to servers that take few, by team. */
  private readonly scarceCalls = new Map<TeamId, readonly Millis[]>();

  private queue: readonly QueueEntry[] = [];

  /** Most calls in flight from this host to all servers together. */
  private maxInFlight = Infinity;

  /**
   * @param random - Breaks ties between equally loaded servers.
   * @param chooser - Chooses among free servers; where it does not, the least loaded one is taken.
   */
  constructor(random: RandomSource = new RandomSource(0), chooser?: ServerChooser) {
    this.random = random;
    this.chooser = chooser;
  }

  /**
   * Applies changed servers and limits; calls in flight stay counted.
   *
   * @param servers - All servers.
   * @param maxInFlight - Most calls in flight from this host to all of them together.
   */
  reconfigure(servers: readonly ServiceQueueServer[], maxInFlight = Infinity): void {
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

  /** Gets the number of calls queued or in flight. */
  get callCount(): number {
    return this.queue.length + this.inFlightCount;
  }

  /** Gets the number of queued calls. */
  get queuedCount(): number {
    return this.queue.length;
  }

  /**
   * Queues a call, or refuses it if the service has no servers or the queue is full.
   *
   * @param call - The call.
   * @param now - Present time.
   * @returns The refusal, or undefined if the call was queued.
   */
  submit(call: ServiceQueueCall, now: Millis): Refusal | undefined {
    const queuedOfTeam = this.queue.filter((entry) => entry.call.team === call.team).length;
    if (this.servers.size === 0) {
      return notRun('no_capacity', 'The service has no servers.', RETRY_AFTER_MS);
    }
    if (this.queue.length >= MAX_QUEUED || queuedOfTeam >= MAX_QUEUED_PER_TEAM) {
      return notRun('queue_full', 'Too many calls are queued for this service.', RETRY_AFTER_MS);
    }
    this.queue = [...this.queue, { call, queuedAt: now, timeoutAt: now + call.maxWaitMs }];
    return undefined;
  }

  /** Removes a queued call whose caller has gone. */
  withdraw(request: RequestId): void {
    this.queue = this.queue.filter((entry) => entry.call.request !== request);
  }

  /** Records that a call in flight has ended. */
  callEnded(team: TeamId, server: UpstreamId, failed: boolean, now: Millis): void {
    const state = this.servers.get(server);
    if (state !== undefined) {
      state.inFlight = Math.max(0, state.inFlight - 1);
      if (failed) state.cooldownUntil = now + FAILURE_COOLDOWN_MS;
    }
    const remaining = (this.inFlightByTeam.get(team) ?? 1) - 1;
    if (remaining > 0) this.inFlightByTeam.set(team, remaining);
    else this.inFlightByTeam.delete(team);
  }

  /** Refuses queued calls that have timed out, places others on servers, and gets these decisions. */
  step(now: Millis): readonly ServiceQueueDecision[] {
    const timedOut = this.queue.filter((entry) => entry.timeoutAt < now);
    this.queue = this.queue.filter((entry) => entry.timeoutAt >= now);
    const refused = timedOut.map((entry): ServiceQueueDecision => ({
      type: 'refuse',
      request: entry.call.request,
      refusal: notRun('target_missed', 'No server became free in time.', RETRY_AFTER_MS),
    }));
    return [...refused, ...this.dispatchAll(now), ...this.refuseUnservable(now)];
  }

  /** Gets when `step` refuses the next queued call, or undefined if none is queued. */
  nextWake(): Millis | undefined {
    if (this.queue.length === 0) return undefined;
    return Math.min(...this.queue.map((entry) => entry.timeoutAt)) + 1;
  }

  private get inFlightCount(): number {
    return [...this.servers.values()].reduce((sum, { inFlight }) => sum + inFlight, 0);
  }

  private dispatchAll(now: Millis): readonly ServiceQueueDecision[] {
    const decisions: ServiceQueueDecision[] = [];
    let next = this.dispatchNext(now);
    while (next !== undefined) {
      decisions.push(next);
      next = this.dispatchNext(now);
    }
    return decisions;
  }

  /** Refuses the calls for which no server opens before they time out. */
  private refuseUnservable(now: Millis): readonly ServiceQueueDecision[] {
    if (this.queue.length === 0) return [];
    const hasFreeServer = [...this.servers.values()].some(({ openings }) => openings === undefined);
    const sorted = [...this.queue].sort((a, b) => this.compare(a, b, now));
    const refused = sorted.flatMap(({ call, timeoutAt }, position) => {
      if (hasFreeServer && call.avoid.length === 0) return [];
      const openings = this.openingsFor(call);
      const refusal =
        openings && refusalWithoutOpening({ openings, position }, timeoutAt, now, NO_SERVER_OPENS);
      return refusal === undefined ? [] : [{ request: call.request, refusal }];
    });
    refused.forEach(({ request }) => this.withdraw(request));
    return refused.map((one): ServiceQueueDecision => ({ type: 'refuse', ...one }));
  }

  /** Gets the openings of the servers that a call may go to; undefined where one has asked for nothing. */
  private openingsFor({ avoid }: ServiceQueueCall): readonly Opening[] | undefined {
    const candidates = [...this.servers].filter(([id]) => !avoid.includes(id));
    // Without a candidate the call waits: a new server may be listed.
    if (candidates.length === 0) return undefined;
    return mergeOpenings(candidates.map(([, { openings }]) => openings));
  }

  private dispatchNext(now: Millis): ServiceQueueDecision | undefined {
    if (this.queue.length === 0 || this.inFlightCount >= this.maxInFlight) return undefined;
    const ordered = [...this.queue].sort((a, b) => this.compare(a, b, now));
    const choice = ordered
      .map((entry) => ({ entry, server: this.choose(entry.call, now) }))
      .find((pair) => pair.server !== undefined);
    if (choice?.server === undefined) return undefined;
    const { call } = choice.entry;
    this.withdraw(call.request);
    const state = this.servers.get(choice.server);
    if (state !== undefined) {
      state.inFlight += 1;
      state.allowance -= 1;
      if (state.openings !== undefined) {
        state.openings = takeOpening(state.openings);
        this.recordScarceCall(call.team, now);
      }
    }
    this.inFlightByTeam.set(call.team, (this.inFlightByTeam.get(call.team) ?? 0) + 1);
    const waitedMs = now - choice.entry.queuedAt;
    return { type: 'place', request: call.request, server: choice.server, waitedMs };
  }

  private recordScarceCall(team: TeamId, now: Millis): void {
    const recent = (this.scarceCalls.get(team) ?? []).filter((at) => at > now - RECENT_CALL_MS);
    this.scarceCalls.set(team, [...recent, now]);
  }

  private compare(a: QueueEntry, b: QueueEntry, now: Millis): number {
    const byLateness = Number(isLate(a, now)) - Number(isLate(b, now));
    if (byLateness !== 0) return byLateness;
    const byClass =
      CLASSES_BY_PRIORITY.indexOf(a.call.class) - CLASSES_BY_PRIORITY.indexOf(b.call.class);
    if (byClass !== 0) return byClass;
    const inFlight = (entry: QueueEntry): number => this.inFlightByTeam.get(entry.call.team) ?? 0;
    return inFlight(a) - inFlight(b) || this.scarceCount(a, now) - this.scarceCount(b, now);
  }

  /** Counts the recent calls of a team to servers that take few: these calls are too short to be in flight. */
  private scarceCount({ call }: QueueEntry, now: Millis): number {
    const calls = this.scarceCalls.get(call.team) ?? [];
    return calls.filter((at) => at > now - RECENT_CALL_MS).length;
  }

  /**
   * Chooses the least loaded server with free capacity; a reluctant one only if no other has any,
   * and one that failed lately only after these.
   *
   * Ties are broken at random. In a large fleet, each host has no calls on most servers most of the
   * time; if all hosts took the first of the list, that server would get twice the calls of the others.
   */
  private choose(call: ServiceQueueCall, now: Millis): UpstreamId | undefined {
    const candidates = [...this.servers]
      .filter(([id, state]) => hasCapacity(state) && !call.avoid.includes(id))
      .map(([id, state]) => ({ id, state, tieBreaker: this.random.next() }))
      .sort((a, b) => loadOf(a.state) - loadOf(b.state) || a.tieBreaker - b.tieBreaker);
    const healthy = candidates.filter(({ state }) => state.cooldownUntil <= now);
    const free = healthy.filter(({ state }) => !state.isReluctant);
    const preferred = [free, healthy, candidates].find((list) => list.length > 0) ?? [];
    const options = preferred.map(({ id, state }) => ({ id, ...state }));
    return this.chooser?.(options, now) ?? preferred[0]?.id;
  }
}

function isLate({ call: { lateAt = Infinity } }: QueueEntry, now: Millis): boolean {
  return lateAt <= now;
}

function hasCapacity({ inFlight, limit, allowance }: ServerState): boolean {
  return inFlight < limit && allowance > 0;
}

function loadOf({ inFlight, limit }: ServerState): number {
  return inFlight / limit;
}
