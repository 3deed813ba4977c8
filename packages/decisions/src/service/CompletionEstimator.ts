import type { Millis, UpstreamId } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import type { CallTime } from '../completion/callTimes.ts';
import type { ObservedTime } from '../completion/ObservedTimes.ts';
import { ObservedTimes } from '../completion/ObservedTimes.ts';

/** Time constant of the call times. Servers are slow for some 600 ms at a time. */
const WINDOW_MS: Millis = 500;

/** Age from which call times don't count: a slow phase has ended by then. */
const MAX_AGE_MS: Millis = 3_000;

/** Time without an observation after which a slow server gets a call, to find out whether it still is. */
const PROBE_INTERVAL_MS: Millis = 500;

/**
 * Ratio of call times above which a server is slower than another one. Queues at servers explain smaller
 * differences; if hosts followed these, all would choose the same server, and slow it down.
 */
const SLOW_RATIO = 2;

/**
 * Ratio to its lowest average above which calls queue at a server. It takes no calls from slower ones then: in
 * a play without this, with the servers 82% busy, 658 of 8,427 calls were late instead of 475 by load alone.
 */
const QUEUEING_RATIO = 1.5;

/** Milliseconds after which the lowest average is measured anew. */
const FLOOR_MAX_AGE_MS: Millis = 10_000;

/** A server with free capacity for a call. */
export interface ServerCandidate {
  readonly id: UpstreamId;
  /** Calls of this host in flight there. */
  readonly inFlight: number;
  /** Most calls of this host in flight there. */
  readonly limit: number;
}

/** Chooses among servers with free capacity; undefined where it makes no choice. */
export type ServerChooser = (
  candidates: readonly ServerCandidate[],
  now: Millis,
) => UpstreamId | undefined;

interface Estimate extends ServerCandidate {
  readonly callMs: Millis;
  /** Lowest recent average. */
  readonly floorMs: Millis;
}

/**
 * Chooses servers of plain services by the expected completion of the call, for servers whose speed differs
 * and changes. Of two servers drawn at random the one expected to complete sooner is taken, so that
 * hosts which know the same don't all choose the same server.
 */
export class CompletionEstimator {
  private readonly random: RandomSource;

  private readonly times = new ObservedTimes({
    windowMs: WINDOW_MS,
    maxAgeMs: MAX_AGE_MS,
    countsPeaks: true,
  });

  /** Lowest recent average of the calls to each server. */
  private readonly floors = new Map<UpstreamId, ObservedTime>();

  /** @param random - Draws the servers to compare. */
  constructor(random = new RandomSource(1)) {
    this.random = random;
  }

  /** Records the time of a call that a server has answered. */
  record(server: UpstreamId, tookMs: Millis, now: Millis): void {
    this.times.record(server, tookMs, now);
    this.recordFloor(server, now);
  }

  /** Records what peers observed. */
  receive(reports: readonly CallTime[], now: Millis): void {
    this.times.receive(reports, now);
    reports.forEach(({ upstream }) => this.recordFloor(upstream, now));
    [...this.floors]
      .filter(([, { at }]) => now - at > 2 * FLOOR_MAX_AGE_MS)
      .forEach(([server]) => this.floors.delete(server));
  }

  /** Gets the observations of this host to report to its peers. */
  getReports(now: Millis): readonly CallTime[] {
    return this.times.getReports(now);
  }

  /** Gets the averaged time of the calls to a server; undefined without a recent observation. */
  get(server: UpstreamId, now: Millis): ObservedTime | undefined {
    return this.times.get(server, now);
  }

  /**
   * Chooses a server.
   *
   * @param candidates - Servers with free capacity.
   * @param now - Present time.
   * @returns The server; undefined where there is no choice, or nothing is known.
   */
  choose(candidates: readonly ServerCandidate[], now: Millis): UpstreamId | undefined {
    if (candidates.length < 2) return undefined;
    const known = candidates.flatMap(({ id }) => this.get(id, now)?.ms ?? []);
    if (known.length === 0) return undefined;
    const meanMs = known.reduce((sum, ms) => sum + ms, 0) / known.length;
    const estimates = candidates.map((one) => ({
      ...one,
      floorMs: this.floors.get(one.id)?.ms ?? 0,
      callMs: this.get(one.id, now)?.ms ?? meanMs,
    }));
    const slowMs = Math.min(...known) * SLOW_RATIO;
    const probe = estimates.find((one) => one.callMs > slowMs && this.isProbeDue(one, now));
    if (probe !== undefined) return probe.id;
    return this.drawTwo(estimates).reduce(sooner).id;
  }

  /**
   * Records the lowest average lately: the time of a call without a queue at the server. The shortest single
   * call would not do, since calls of one service may differ.
   */
  private recordFloor(server: UpstreamId, now: Millis): void {
    const time = this.times.get(server, now);
    const floor = this.floors.get(server);
    if (time === undefined) return;
    const isExpired = floor === undefined || time.at - floor.at > FLOOR_MAX_AGE_MS;
    if (isExpired || time.ms <= floor.ms) this.floors.set(server, time);
  }

  /** One call in flight is enough to find out; the observations of peers count too. */
  private isProbeDue({ id, inFlight }: Estimate, now: Millis): boolean {
    const observed = this.times.get(id, now);
    return inFlight === 0 && observed !== undefined && now - observed.at >= PROBE_INTERVAL_MS;
  }

  private drawTwo(estimates: readonly Estimate[]): readonly Estimate[] {
    return estimates
      .map((one) => ({ one, sortKey: this.random.next() }))
      .sort((a, b) => a.sortKey - b.sortKey)
      .slice(0, 2)
      .map(({ one }) => one);
  }
}

/** Gets the server that is expected to complete sooner; the less loaded one of servers that are as fast. */
function sooner(a: Estimate, b: Estimate): Estimate {
  const ratio = a.callMs / Math.max(Number.EPSILON, b.callMs);
  const faster = ratio < 1 ? a : b;
  const isQueueing = faster.callMs > faster.floorMs * QUEUEING_RATIO;
  const isAsFast = isQueueing || (ratio <= SLOW_RATIO && ratio >= 1 / SLOW_RATIO);
  const costOf = (one: Estimate): number =>
    (isAsFast ? 1 : one.callMs) * (1 + one.inFlight / Math.max(1, one.limit));
  return costOf(b) < costOf(a) ? b : a;
}
