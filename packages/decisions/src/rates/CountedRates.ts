import type { HostId, Incarnation, Millis, TeamId, TeamRate, Tokens } from '@camphorvane/core';
import { gossipPace } from '../local/gossipPace.ts';
import { UNKNOWN_PEER } from './ratePeers.ts';
import type { CrowdReport, RatePeer } from './ratePeers.ts';

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

/** Milliseconds over which the pace of a peer's charges is measured: some requests of one team. */
const PACE_MS: Millis = 1_000;

const MS_PER_SECOND = 1_000;

interface Bucket {
  readonly perMs: number;
  readonly capacity: Tokens;
  readonly level: number;
}

/** Names under which peers are kept that a relaying host has heard, and those that it has not. */
const HEARD_CROWD = 'heard by a relay';
const SILENT_CROWD = 'not heard by a relay';

/**
 * Charges teams against the rate that all hosts share, by what the hosts count.
 *
 * Each host keeps one bucket for the whole rate of a team, takes out what it charges itself, and what
 * its peers say that they have charged. So a team may send all its requests to one host. Between two
 * hints a peer is taken to go on at its pace, and its next hint sets that right; what it charges
 * beyond is covered by the tolerance, and is made up afterwards, since the level goes below zero.
 *
 * A peer that is silent may be dead, or cut off and serving callers all the same; nobody can tell
 * which. It is taken to use one equal part of the rate, and uses no more itself, since it hears
 * nobody; the burst is divided in the same way. So no set of hosts that lost each other can break a
 * rate, whatever the store does.
 */
export class CountedRates {
  private readonly tolerance: RateTolerance;

  private readonly buckets = new Map<TeamId, Bucket>();

  /** What this host has charged since it started. */
  private readonly totals = new Map<TeamId, Tokens>();

  /** Until when callers of a team were told to come back, one after the other. */
  private readonly returnsUntil = new Map<TeamId, Millis>();

  /** All other hosts that may be serving callers, one by one or as two crowds. */
  private readonly peers = new Map<HostId, RatePeer>();

  private sharers: readonly HostId[] = [];

  private settledAt: Millis = 0;

  /** @param tolerance - How far hosts may go beyond a rate together. */
  constructor(tolerance: RateTolerance) {
    this.tolerance = tolerance;
  }

  /** Takes changed rates into force; a team that is not among them is not limited. */
  reshape(rates: ReadonlyMap<TeamId, TeamRate>, now: Millis): void {
    this.settle(now);
    [...this.buckets.keys()]
      .filter((team) => !rates.has(team))
      .forEach((team) => this.buckets.delete(team));
    rates.forEach((rate, team) => {
      const shape = this.shapeOf(rate);
      // A host that has just started knows nothing of what others charged a moment ago.
      const first = shape.capacity / this.hostCount();
      const level = Math.min(this.buckets.get(team)?.level ?? first, shape.capacity);
      this.buckets.set(team, { ...shape, level });
    });
  }

  /** Takes a changed set of other hosts into force. */
  setSharers(hosts: readonly HostId[], now: Millis): void {
    this.settle(now);
    this.sharers = hosts;
    const crowd = this.peers.get(HEARD_CROWD);
    if (crowd === undefined) this.listPeers();
    else this.setCrowds(crowd);
  }

  /** Takes in what a relaying host has heard of all peers; it replaces what they said themselves. */
  receiveDigest({ relay, incarnation, heard, totals }: CrowdReport, now: Millis): void {
    this.settle(now);
    const known = this.peers.get(HEARD_CROWD);
    const source = `${relay} ${incarnation}`;
    const spoke = known !== undefined && !this.isSilent(known, now) ? known : undefined;
    // Another relay counts from another start: its sums can't be compared with those of the last one.
    const isContinuous = spoke?.incarnation === source;
    if (spoke !== undefined && isContinuous) this.correct(spoke, totals);
    const lastPaces = spoke?.paces ?? this.firstPaces(heard);
    const paces =
      spoke !== undefined && isContinuous ? this.measure(spoke, totals, now) : lastPaces;
    const hosts = Math.min(heard, this.sharers.length);
    const assumed = new Map<TeamId, Tokens>();
    this.setCrowds({ hosts, incarnation: source, receivedAt: now, totals, paces, assumed });
  }

  /**
   * Takes in what a peer has charged since it started.
   *
   * @param host - The peer.
   * @param incarnation - Its start; a new one counts from zero.
   * @param totals - Tokens by team; teams that it does not name are as before.
   * @param now - Present time.
   */
  receive(
    host: HostId,
    incarnation: Incarnation,
    totals: ReadonlyMap<TeamId, Tokens>,
    now: Millis,
  ): void {
    this.settle(now);
    if (this.peers.has(HEARD_CROWD)) this.listPeers();
    const known = this.peers.get(host);
    if (known === undefined) return;
    const isSame = known.incarnation === incarnation;
    const merged = new Map([...(isSame ? known.totals : []), ...totals]);
    // What a peer charged while it was silent is covered by the equal part that it was given.
    const isContinuous = isSame && !this.isSilent(known, now);
    if (isContinuous) this.correct(known, merged);
    const paces = isContinuous ? this.measure(known, merged, now) : this.firstPaces(1);
    const assumed = new Map<TeamId, Tokens>();
    this.peers.set(host, {
      hosts: 1,
      incarnation,
      receivedAt: now,
      totals: merged,
      paces,
      assumed,
    });
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
    this.settle(now);
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return { type: 'charged' };
    const needed = Math.min(tokens, bucket.capacity * this.ownPart(now));
    if (bucket.level < needed) {
      return this.refuse(team, bucket, needed - bucket.level, tokens, now);
    }
    this.buckets.set(team, { ...bucket, level: bucket.level - tokens });
    this.totals.set(team, (this.totals.get(team) ?? 0) + tokens);
    return { type: 'charged' };
  }

  /** Gives back what a request did not use. */
  refund(team: TeamId, tokens: Tokens, now: Millis): void {
    this.settle(now);
    this.takeOut(team, -tokens);
    this.totals.set(team, (this.totals.get(team) ?? 0) - tokens);
  }

  /** Gets what this host has charged since it started, to be told to its peers. */
  getTotals(): ReadonlyMap<TeamId, Tokens> {
    return this.totals;
  }

  /** Gets what decides on a team's requests now, for the log. */
  inspect(team: TeamId, now: Millis): { readonly level: Tokens; readonly silentPeers: number } {
    this.settle(now);
    return { level: this.buckets.get(team)?.level ?? Infinity, silentPeers: this.countSilent(now) };
  }

  /** Gets the level of each team's bucket, for the state dump. */
  dump(now: Millis): Readonly<Record<TeamId, number>> {
    this.settle(now);
    return Object.fromEntries(
      [...this.buckets].map(([team, { level }]) => [team, Math.floor(level)]),
    );
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
    const soonest = now + lacking / bucket.perMs;
    const at = Math.max(soonest, this.returnsUntil.get(team) ?? 0);
    // Every host tells its own callers, so each one lets them come at its part of the pace.
    this.returnsUntil.set(team, at + (tokens / bucket.perMs) * this.hostCount());
    return { type: 'over_rate', retryAfterMs: Math.ceil(at - now) };
  }

  /** Brings all buckets up to now: what came in, and what peers are taken to have charged. */
  private settle(now: Millis): void {
    const passedMs = now - this.settledAt;
    if (passedMs <= 0) return;
    this.settledAt = now;
    const part = this.ownPart(now);
    this.buckets.forEach((bucket, team) => {
      const level = Math.min(bucket.capacity * part, bucket.level + passedMs * bucket.perMs);
      this.buckets.set(team, { ...bucket, level });
    });
    this.peers.forEach((peer, host) => this.assume(host, peer, passedMs, now));
  }

  /** Keeps peers one by one, with what is known of each. */
  private listPeers(): void {
    const known = new Map(this.peers);
    this.peers.clear();
    this.sharers.forEach((host) => this.peers.set(host, known.get(host) ?? UNKNOWN_PEER));
  }

  /** Keeps peers as those that the relay hears and the rest, of whom nothing is known. */
  private setCrowds(heard: RatePeer): void {
    const hosts = Math.min(heard.hosts, this.sharers.length);
    this.peers.clear();
    this.peers.set(HEARD_CROWD, { ...heard, hosts });
    this.peers.set(SILENT_CROWD, { ...UNKNOWN_PEER, hosts: this.sharers.length - hosts });
  }

  private assume(host: HostId, peer: RatePeer, passedMs: Millis, now: Millis): void {
    const paces = this.isSilent(peer, now) ? this.firstPaces(peer.hosts) : peer.paces;
    const taken = [...paces].map(([team, pace]) => [team, pace * passedMs] as const);
    taken.forEach(([team, tokens]) => this.takeOut(team, tokens));
    const assumed = taken.map(
      ([team, tokens]) => [team, tokens + (peer.assumed.get(team) ?? 0)] as const,
    );
    this.peers.set(host, { ...peer, assumed: new Map(assumed) });
  }

  /** Sets what was assumed of a peer right, by what it says. */
  private correct(known: RatePeer, totals: ReadonlyMap<TeamId, Tokens>): void {
    this.buckets.forEach((_, team) => {
      const charged = (totals.get(team) ?? 0) - (known.totals.get(team) ?? 0);
      this.takeOut(team, charged - (known.assumed.get(team) ?? 0));
    });
  }

  private takeOut(team: TeamId, tokens: Tokens): void {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return;
    const level = Math.min(bucket.capacity, bucket.level - tokens);
    this.buckets.set(team, { ...bucket, level });
  }

  /** Peers of which nothing is known are taken to use their equal parts. */
  private firstPaces(peers: number): ReadonlyMap<TeamId, number> {
    const part = peers / this.hostCount();
    return new Map([...this.buckets].map(([team, bucket]) => [team, bucket.perMs * part]));
  }

  private measure(
    known: RatePeer,
    totals: ReadonlyMap<TeamId, Tokens>,
    now: Millis,
  ): ReadonlyMap<TeamId, number> {
    const passedMs = Math.max(1, now - (known.receivedAt ?? now));
    const weight = 1 - Math.exp(-passedMs / PACE_MS);
    const teams = [...this.buckets.keys()];
    return new Map(
      teams.map((team) => {
        const charged = (totals.get(team) ?? 0) - (known.totals.get(team) ?? 0);
        const before = known.paces.get(team) ?? 0;
        return [team, before + (Math.max(0, charged) / passedMs - before) * weight];
      }),
    );
  }

  /** Gets the part of each burst that is not left to silent hosts. */
  private ownPart(now: Millis): number {
    return 1 - this.countSilent(now) / this.hostCount();
  }

  private countSilent(now: Millis): number {
    return [...this.peers.values()]
      .filter((peer) => this.isSilent(peer, now))
      .reduce((sum, peer) => sum + peer.hosts, 0);
  }

  /** Until a peer is silent it is taken to go on as before; two lost hints are no death. */
  private isSilent({ receivedAt }: RatePeer, now: Millis): boolean {
    const { silentMs } = gossipPace(this.hostCount());
    return receivedAt === undefined || now - receivedAt > silentMs;
  }

  private hostCount(): number {
    return this.sharers.length + 1;
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
