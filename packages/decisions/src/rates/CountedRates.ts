import type { HostId, Incarnation, Millis, TeamId, TeamRate, Tokens } from '@camphorvane/core';

/** How far all hosts together may go beyond a team's rate without breaking it. */
export interface RateTolerance {
  /** Part of the rate, such as 0.1. */
  readonly over: number;
  /** Tokens beyond that in any window. */
  readonly slackTokens: Tokens;
  /** Length of a window, in milliseconds. */
  readonly windowMs: Millis;
}

/** What came of charging a team. */
export type ChargeOutcome =
  { readonly type: 'charged' } | { readonly type: 'over_rate'; readonly retryAfterMs: Millis };

/** Part of the tolerance that is given away; the rest covers charges that peers do not know yet. */
const USED_TOLERANCE = 0.8;

/** Part of the slack that goes into the pace; the rest goes into the burst. */
const PACED_SLACK = 0.5;

/** Milliseconds without a word after which a peer is taken to use its equal part of every rate. */
const SILENT_AFTER_MS: Millis = 1_000;

const MS_PER_SECOND = 1_000;

interface Bucket {
  readonly perMs: number;
  readonly capacity: Tokens;
  level: number;
  at: Millis;
}

interface Peer {
  readonly incarnation: Incarnation;
  readonly heardAt: Millis;
  readonly totals: ReadonlyMap<TeamId, Tokens>;
}

/**
 * Charges teams against the rate that all hosts share, by what the hosts count.
 *
 * Each host keeps one bucket for the whole rate of a team, takes out what it charges itself, and what
 * its peers say that they have charged. So a team may send all its requests to one host. What peers
 * charge in the moment before they say so is covered by the tolerance, and is made up afterwards,
 * since the level goes below zero.
 *
 * A peer that is silent may be dead, or cut off and serving callers all the same; nobody can tell
 * which. It is taken to use one equal part of the rate, and uses no more itself, since it hears
 * nobody. So no set of hosts that lost each other can break a rate, whatever the store does.
 */
export class CountedRates {
  private readonly tolerance: RateTolerance;

  private readonly buckets = new Map<TeamId, Bucket>();

  /** What this host has charged since it started. */
  private readonly totals = new Map<TeamId, Tokens>();

  private readonly peers = new Map<HostId, Peer>();

  /** Until when callers of a team were told to come back, one after the other. */
  private readonly returnsUntil = new Map<TeamId, Millis>();

  /** All other hosts that may be serving callers. */
  private sharers: readonly HostId[] = [];

  /** @param tolerance - How far hosts may go beyond a rate together. */
  constructor(tolerance: RateTolerance) {
    this.tolerance = tolerance;
  }

  /** Takes changed rates into force; a team that is not among them is not limited. */
  reshape(rates: ReadonlyMap<TeamId, TeamRate>, now: Millis): void {
    [...this.buckets.keys()]
      .filter((team) => !rates.has(team))
      .forEach((team) => this.buckets.delete(team));
    rates.forEach((rate, team) => {
      const shape = this.shapeOf(rate);
      const old = this.buckets.get(team);
      // A host that has just started knows nothing of what others charged a moment ago.
      const first = shape.capacity / (this.sharers.length + 1);
      const level = old === undefined ? first : Math.min(this.levelAt(old, now), shape.capacity);
      this.buckets.set(team, { ...shape, level, at: now });
    });
  }

  /** Takes a changed set of other hosts into force. */
  setSharers(hosts: readonly HostId[], now: Millis): void {
    this.settle(now);
    this.sharers = hosts;
    [...this.peers.keys()]
      .filter((host) => !hosts.includes(host))
      .forEach((host) => this.peers.delete(host));
  }

  /**
   * Takes in what a peer has charged since it started.
   *
   * @param host - The peer.
   * @param incarnation - Its start; a new one counts from zero.
   * @param totals - Tokens by team; teams that it does not name are as before.
   * @param now - Present time.
   */
  hear(
    host: HostId,
    incarnation: Incarnation,
    totals: ReadonlyMap<TeamId, Tokens>,
    now: Millis,
  ): void {
    this.settle(now);
    const known = this.peers.get(host);
    const isSame = known !== undefined && known.incarnation === incarnation;
    // What a peer charged while it was silent was accounted for by its equal part.
    const isContinuous = isSame && now - known.heardAt <= SILENT_AFTER_MS;
    if (isContinuous) this.takeOut(known.totals, totals);
    const before = isSame ? known.totals : new Map<TeamId, Tokens>();
    this.peers.set(host, { incarnation, heardAt: now, totals: new Map([...before, ...totals]) });
  }

  /**
   * Takes tokens out of a team's rate. A request larger than the burst passes when the bucket is
   * full, and the next ones wait until that is made up.
   *
   * @param team - The team.
   * @param tokens - What the request may use.
   * @param now - Present time.
   * @returns Whether they were taken, or when they will be there.
   */
  charge(team: TeamId, tokens: Tokens, now: Millis): ChargeOutcome {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return { type: 'charged' };
    const level = this.levelAt(bucket, now);
    const needed = Math.min(tokens, bucket.capacity);
    if (level < needed) return this.refuse(team, bucket, needed - level, tokens, now);
    bucket.level = level - tokens;
    bucket.at = now;
    this.totals.set(team, (this.totals.get(team) ?? 0) + tokens);
    return { type: 'charged' };
  }

  /**
   * Tells a refused caller when to come back: after those who were told so before it. With one time
   * for all they would come back together, and all but the first would be refused once more.
   */
  private refuse(
    team: TeamId,
    bucket: Bucket,
    lacking: Tokens,
    tokens: Tokens,
    now: Millis,
  ): ChargeOutcome {
    const perMs = Math.max(bucket.perMs * this.ownPart(now), Number.EPSILON);
    const hosts = this.sharers.length + 1;
    const soonest = now + lacking / perMs;
    // Every host tells its own callers, so each one lets them come at its part of the pace.
    const at = Math.max(soonest, this.returnsUntil.get(team) ?? 0);
    this.returnsUntil.set(team, at + (tokens / perMs) * hosts);
    return { type: 'over_rate', retryAfterMs: Math.ceil(at - now) };
  }

  /** Gives back what a request did not use. */
  refund(team: TeamId, tokens: Tokens, now: Millis): void {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return;
    bucket.level = Math.min(bucket.capacity, this.levelAt(bucket, now) + tokens);
    bucket.at = now;
    this.totals.set(team, (this.totals.get(team) ?? 0) - tokens);
  }

  /** Gets what this host has charged since it started, to be told to its peers. */
  getTotals(): ReadonlyMap<TeamId, Tokens> {
    return this.totals;
  }

  /** Gets what decides on a team's requests now, for the log. */
  inspect(team: TeamId, now: Millis): { readonly level: Tokens; readonly silentPeers: number } {
    const bucket = this.buckets.get(team);
    const level = bucket === undefined ? Infinity : this.levelAt(bucket, now);
    return { level, silentPeers: this.countSilent(now) };
  }

  /** Gets the level of each team's bucket, for the state dump. */
  dump(now: Millis): Readonly<Record<TeamId, number>> {
    return Object.fromEntries(
      [...this.buckets].map(([team, bucket]) => [team, Math.floor(this.levelAt(bucket, now))]),
    );
  }

  private takeOut(before: ReadonlyMap<TeamId, Tokens>, totals: ReadonlyMap<TeamId, Tokens>): void {
    totals.forEach((total, team) => {
      const bucket = this.buckets.get(team);
      if (bucket !== undefined) bucket.level -= total - (before.get(team) ?? 0);
    });
  }

  /** Brings all levels up to now, before the pace changes. */
  private settle(now: Millis): void {
    this.buckets.forEach((bucket, team) => {
      this.buckets.set(team, { ...bucket, level: this.levelAt(bucket, now), at: now });
    });
  }

  private levelAt(bucket: Bucket, now: Millis): number {
    const filled = (now - bucket.at) * bucket.perMs * this.ownPart(now);
    return Math.min(bucket.capacity, bucket.level + filled);
  }

  /** Gets the part of each rate that is not left to silent hosts. */
  private ownPart(now: Millis): number {
    return 1 - this.countSilent(now) / (this.sharers.length + 1);
  }

  private countSilent(now: Millis): number {
    return this.sharers.filter((host) => {
      const peer = this.peers.get(host);
      return peer === undefined || now - peer.heardAt > SILENT_AFTER_MS;
    }).length;
  }

  private shapeOf(rate: TeamRate): Pick<Bucket, 'perMs' | 'capacity'> {
    const { over, slackTokens, windowMs } = this.tolerance;
    const factor = 1 + over * USED_TOLERANCE;
    const slack = slackTokens * USED_TOLERANCE;
    const paced = (slack * PACED_SLACK) / windowMs;
    return {
      perMs: (rate.tokensPerSecond / MS_PER_SECOND) * factor + paced,
      capacity: rate.burstTokens * factor + slack * (1 - PACED_SLACK),
    };
  }
}
