import type { HostId, Incarnation, Millis, TeamId, TeamRate, Tokens } from '@camphorvane/core';
import { gossipTimings } from '../local/gossipTimings.ts';
import type { RetryContext } from '../turns/RetryContext.ts';
import type { TurnOffer } from '../turns/TurnScheduler.ts';
import { bucketLimits } from './bucketLimits.ts';
import type { BucketLimits, RateTolerance } from './bucketLimits.ts';
import { measureRates, UNKNOWN_PEER } from './peerCharges.ts';
import type { RelayDigest, PeerCharges } from './peerCharges.ts';
import { RateTurns } from './RateTurns.ts';
import type { TeamTurns } from './RateTurns.ts';

/** Result of charging a team. */
export type ChargeOutcome =
  | { readonly type: 'charged' }
  | {
      readonly type: 'over_rate';
      readonly retryAfterMs: Millis;
      /** The caller's turn; absent where no turns are given. */
      readonly offer?: TurnOffer;
    };

interface Bucket extends BucketLimits {
  readonly level: number;
}

/** Keys of the two groups of peers under relayed gossip: those in the relay's digest, and the others. */
const DIGEST_GROUP = 'in the digest';
const MISSING_GROUP = 'not in the digest';

/**
 * Rate limits of teams, enforced by all hosts together through gossip of what each has charged.
 *
 * Each host keeps a token bucket with a team's whole rate, and deducts its own charges and those that
 * its peers report, so a team may send all its requests to one host. Between two gossip messages a
 * peer's charges are extrapolated at its recent rate, which its next message corrects. Charges beyond
 * the extrapolation are covered by the tolerance and made up for later, as the level goes below zero.
 *
 * A peer that has timed out has failed, or is partitioned and still serves callers; the two look the
 * same. It is assumed to use an equal share of the rate and of the burst, and it uses no more, since its
 * own peers have timed out too. So hosts that lost contact can't exceed a rate together, even while the
 * store is down.
 */
export class DistributedRateLimiter {
  private readonly tolerance: RateTolerance;

  private readonly buckets = new Map<TeamId, Bucket>();

  /** Tokens that this host has charged since it started. */
  private readonly totals = new Map<TeamId, Tokens>();

  /** Time from which the next refused caller of a team is to retry. */
  private readonly nextRetryAt = new Map<TeamId, Millis>();

  /** Charges of all other hosts, host by host or, under relayed gossip, as two groups. */
  private readonly peers = new Map<HostId, PeerCharges>();

  private peerHosts: readonly HostId[] = [];

  private updatedAt: Millis = 0;

  /** Whether a process of this host before this one may have used its part of the bursts, and no peer knows. */
  private startsEmpty = false;

  private readonly turns: RateTurns | undefined;

  /**
   * @param tolerance - Tolerance by which all hosts together may exceed a rate.
   * @param turns - Turns of refused callers; used for charges with a retry context.
   */
  constructor(tolerance: RateTolerance, turns?: TeamTurns) {
    this.tolerance = tolerance;
    this.turns = turns === undefined ? undefined : new RateTurns(turns);
  }

  /** Applies changed rates; a team without a rate is not limited. */
  reconfigure(rates: ReadonlyMap<TeamId, TeamRate>, now: Millis): void {
    this.advance(now);
    [...this.buckets.keys()]
      .filter((team) => !rates.has(team))
      .forEach((team) => this.buckets.delete(team));
    rates.forEach((rate, team) => {
      const limits = bucketLimits(rate, this.tolerance);
      // A host that has just started does not know what others have charged lately.
      const initialLevel = this.startsEmpty ? 0 : limits.capacity / this.hostCount();
      const level = Math.min(this.buckets.get(team)?.level ?? initialLevel, limits.capacity);
      this.buckets.set(team, { ...limits, level });
    });
  }

  /** Records that a process of this host before this one may have used its part of the bursts. */
  recordEarlierProcess(now: Millis): void {
    this.advance(now);
    this.startsEmpty = true;
    this.buckets.forEach((bucket, team) =>
      this.buckets.set(team, { ...bucket, level: Math.min(0, bucket.level) }),
    );
  }

  /** Records that a peer knows what hosts have charged lately, so that this one has its part of the bursts. */
  recordLastingPeer(now: Millis): void {
    if (!this.startsEmpty) return;
    this.advance(now);
    this.startsEmpty = false;
    this.buckets.forEach(({ capacity }, team) => this.deduct(team, -capacity / this.hostCount()));
  }

  /** Sets the other hosts that share the rates. */
  setPeerHosts(hosts: readonly HostId[], now: Millis): void {
    this.advance(now);
    this.peerHosts = hosts;
    const digestGroup = this.peers.get(DIGEST_GROUP);
    if (digestGroup === undefined) this.trackHosts();
    else this.trackGroups(digestGroup);
  }

  /** Applies a relay's digest of all peers' charges; it replaces the peers' own reports. */
  receiveDigest({ relay, incarnation, peerCount, totals }: RelayDigest, now: Millis): void {
    this.advance(now);
    const known = this.peers.get(DIGEST_GROUP);
    const source = `${relay} ${incarnation}`;
    const previous = known !== undefined && !this.isTimedOut(known, now) ? known : undefined;
    // Another relay's totals count from a different time, so the difference has no meaning.
    const isContinuous = previous?.incarnation === source;
    if (previous !== undefined && isContinuous) this.reconcile(previous, totals);
    const previousRates = previous?.chargeRates ?? this.equalShares(peerCount);
    const chargeRates =
      previous !== undefined && isContinuous
        ? measureRates([...this.buckets.keys()], previous, totals, now)
        : previousRates;
    const hostCount = Math.min(peerCount, this.peerHosts.length);
    const assumed = new Map<TeamId, Tokens>();
    this.trackGroups({
      hostCount,
      incarnation: source,
      receivedAt: now,
      totals,
      chargeRates,
      assumed,
    });
  }

  /**
   * Applies a peer's report of what it has charged since it started.
   *
   * @param host - The peer.
   * @param incarnation - Its incarnation; a new one counts from zero.
   * @param totals - Tokens by team; teams left out are unchanged.
   * @param now - Present time.
   */
  receive(
    host: HostId,
    incarnation: Incarnation,
    totals: ReadonlyMap<TeamId, Tokens>,
    now: Millis,
  ): void {
    this.advance(now);
    if (this.peers.has(DIGEST_GROUP)) this.trackHosts();
    const known = this.peers.get(host);
    if (known === undefined) return;
    const isSameStart = known.incarnation === incarnation;
    const merged = new Map([...(isSameStart ? known.totals : []), ...totals]);
    // Charges of a peer while it was timed out are covered by the equal share assumed for it.
    const isContinuous = isSameStart && !this.isTimedOut(known, now);
    if (isContinuous) this.reconcile(known, merged);
    const chargeRates = isContinuous
      ? measureRates([...this.buckets.keys()], known, merged, now)
      : this.equalShares(1);
    const assumed = new Map<TeamId, Tokens>();
    this.peers.set(host, {
      hostCount: 1,
      incarnation,
      receivedAt: now,
      totals: merged,
      chargeRates,
      assumed,
    });
  }

  /**
   * Charges tokens to a team's rate. A request larger than the burst passes if the bucket is full, and
   * later ones are refused until the deficit is refilled.
   *
   * @param team - The team.
   * @param tokens - Most tokens that the request may use.
   * @param now - Present time.
   * @param retry - What the caller declares; where present, a refused caller is given a turn.
   * @returns Whether they were charged, or in how many milliseconds to retry.
   */
  charge(team: TeamId, tokens: Tokens, now: Millis, retry?: RetryContext): ChargeOutcome {
    this.advance(now);
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return { type: 'charged' };
    const needed = Math.min(tokens, bucket.capacity * this.ownShare(now));
    if (retry !== undefined && this.turns !== undefined) {
      const perMs = bucket.perMs * this.ownShare(now);
      const hostCount = this.hostCount() - this.countTimedOut(now);
      const rates = { perMs, hostCount, peersPerMs: this.peerRate(team, now) };
      const req = { team, tokens, needed, level: bucket.level, ...rates };
      const offer = this.turns.refuse(req, retry, now);
      if (offer !== undefined)
        return { type: 'over_rate', retryAfterMs: offer.retryAfterMs, offer };
    } else if (bucket.level < needed) {
      return this.refuse(team, bucket, needed - bucket.level, tokens, now);
    }
    this.buckets.set(team, { ...bucket, level: bucket.level - tokens });
    this.totals.set(team, (this.totals.get(team) ?? 0) + tokens);
    return { type: 'charged' };
  }

  /** Refunds tokens that a request did not use. */
  refund(team: TeamId, tokens: Tokens, now: Millis): void {
    this.advance(now);
    this.deduct(team, -tokens);
    this.totals.set(team, (this.totals.get(team) ?? 0) - tokens);
  }

  /** Gets the tokens that this host has charged since it started, to be sent to its peers. */
  getTotals(): ReadonlyMap<TeamId, Tokens> {
    return this.totals;
  }

  /** Gets a team's bucket level and the number of timed-out peers, for the log. */
  inspect(team: TeamId, now: Millis): { readonly level: Tokens; readonly silentPeers: number } {
    this.advance(now);
    return {
      level: this.buckets.get(team)?.level ?? Infinity,
      silentPeers: this.countTimedOut(now),
    };
  }

  /** Gets the level of each team's bucket, for the state dump. */
  dump(now: Millis): Readonly<Record<TeamId, number>> {
    this.advance(now);
    return Object.fromEntries(
      [...this.buckets].map(([team, { level }]) => [team, Math.floor(level)]),
    );
  }

  /**
   * Refuses a request and staggers its retry-after behind those of earlier refusals. With one time for
   * all, callers would retry together, and all but the first would be refused again.
   */
  private refuse(
    team: TeamId,
    bucket: Bucket,
    lacking: Tokens,
    tokens: Tokens,
    now: Millis,
  ): ChargeOutcome {
    const refilledAt = now + lacking / bucket.perMs;
    const retryAt = Math.max(refilledAt, this.nextRetryAt.get(team) ?? 0);
    // Hosts stagger retries independently, so each spaces them as for its equal share of the rate.
    this.nextRetryAt.set(team, retryAt + (tokens / bucket.perMs) * this.hostCount());
    return { type: 'over_rate', retryAfterMs: Math.ceil(retryAt - now) };
  }

  /** Advances all buckets to the present time: refills them and extrapolates the charges of peers. */
  private advance(now: Millis): void {
    const elapsedMs = now - this.updatedAt;
    if (elapsedMs <= 0) return;
    this.updatedAt = now;
    const share = this.ownShare(now);
    this.buckets.forEach((bucket, team) => {
      const level = Math.min(bucket.capacity * share, bucket.level + elapsedMs * bucket.perMs);
      this.buckets.set(team, { ...bucket, level });
    });
    this.peers.forEach((peer, host) => this.extrapolate(host, peer, elapsedMs, now));
  }

  /** Tracks the charges of each peer, keeping what is known of it. */
  private trackHosts(): void {
    const known = new Map(this.peers);
    this.peers.clear();
    this.peerHosts.forEach((host) => this.peers.set(host, known.get(host) ?? UNKNOWN_PEER));
  }

  /** Tracks the peers in the relay's digest as one group, and the others as one that has timed out. */
  private trackGroups(inDigest: PeerCharges): void {
    const hostCount = Math.min(inDigest.hostCount, this.peerHosts.length);
    this.peers.clear();
    this.peers.set(DIGEST_GROUP, { ...inDigest, hostCount });
    this.peers.set(MISSING_GROUP, {
      ...UNKNOWN_PEER,
      hostCount: this.peerHosts.length - hostCount,
    });
  }

  private extrapolate(host: HostId, peer: PeerCharges, elapsedMs: Millis, now: Millis): void {
    const rates = this.isTimedOut(peer, now) ? this.equalShares(peer.hostCount) : peer.chargeRates;
    const expected = [...rates].map(([team, perMs]) => [team, perMs * elapsedMs] as const);
    expected.forEach(([team, tokens]) => this.deduct(team, tokens));
    const assumed = expected.map(
      ([team, tokens]) => [team, tokens + (peer.assumed.get(team) ?? 0)] as const,
    );
    this.peers.set(host, { ...peer, assumed: new Map(assumed) });
  }

  /** Replaces the extrapolated charges of a peer by those that it reports. */
  private reconcile(known: PeerCharges, totals: ReadonlyMap<TeamId, Tokens>): void {
    this.buckets.forEach((_, team) => {
      const charged = (totals.get(team) ?? 0) - (known.totals.get(team) ?? 0);
      this.deduct(team, charged - (known.assumed.get(team) ?? 0));
    });
  }

  private deduct(team: TeamId, tokens: Tokens): void {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return;
    const level = Math.min(bucket.capacity, bucket.level - tokens);
    this.buckets.set(team, { ...bucket, level });
  }

  /** Gets the charge rates assumed for unknown peers: equal shares of the teams' rates. */
  private equalShares(peers: number): ReadonlyMap<TeamId, number> {
    const share = peers / this.hostCount();
    return new Map([...this.buckets].map(([team, bucket]) => [team, bucket.perMs * share]));
  }

  /** Gets the recent charges of the peers that have not timed out, in tokens a millisecond. */
  private peerRate(team: TeamId, now: Millis): number {
    return [...this.peers.values()]
      .filter((peer) => !this.isTimedOut(peer, now))
      .reduce((sum, { chargeRates }) => sum + (chargeRates.get(team) ?? 0), 0);
  }

  /** Gets the fraction of each burst that is not reserved for timed-out peers. */
  private ownShare(now: Millis): number {
    return 1 - this.countTimedOut(now) / this.hostCount();
  }

  private countTimedOut(now: Millis): number {
    return [...this.peers.values()]
      .filter((peer) => this.isTimedOut(peer, now))
      .reduce((sum, peer) => sum + peer.hostCount, 0);
  }

  /** Tells whether a peer has timed out; the timeout allows for two lost gossip messages. */
  private isTimedOut({ receivedAt }: PeerCharges, now: Millis): boolean {
    const { gossipTimeoutMs } = gossipTimings(this.hostCount());
    return receivedAt === undefined || now - receivedAt > gossipTimeoutMs;
  }

  private hostCount(): number {
    return this.peerHosts.length + 1;
  }
}
