import type { HostId, Millis, RandomSource, ZoneId } from '@camphorvane/core';

/** Milliseconds for which a peer that could not be reached, or refused, gets no request of this host. */
const AVOID_MS: Millis = 500;

/**
 * Requests in flight by which a peer of another zone is behind one of the same zone: traffic between zones
 * costs more, but must not make one host of the zone carry all.
 */
const OTHER_ZONE_PENALTY = 3;

/**
 * Peers of this zone, and of other zones, that are compared for each request. Comparing all of them, hosts that
 * lose their links together would all run to the same peer.
 */
const SAMPLE_SIZE = 2;

/** A host that can serve a request in place of this one. */
export interface RelayCandidate {
  readonly host: HostId;
  readonly zone: ZoneId;
}

/** Chooses the peers that serve requests in place of this host, and counts what each has of them. */
export class RelayPeers {
  private readonly zone: ZoneId;

  private readonly random: RandomSource;

  private readonly inFlight = new Map<HostId, number>();

  private readonly avoidUntil = new Map<HostId, Millis>();

  /**
   * @param zone - Availability zone of this host.
   * @param random - Draws the peers that are compared.
   */
  constructor(zone: ZoneId, random: RandomSource) {
    this.zone = zone;
    this.random = random;
  }

  /** Leaves out the peers that have lately refused or could not be reached. */
  getUsable<T extends RelayCandidate>(candidates: readonly T[], now: Millis): readonly T[] {
    return candidates.filter(({ host }) => (this.avoidUntil.get(host) ?? -Infinity) <= now);
  }

  /**
   * Chooses a peer for a request: of a few random ones, the one with the fewest requests of this host, where
   * a peer of the same zone may have a few more.
   *
   * @param candidates - Peers that reach the upstreams and have not been tried for the request.
   * @param now - Present time.
   * @returns The peer; undefined where there is none.
   */
  choose<T extends RelayCandidate>(candidates: readonly T[], now: Millis): T | undefined {
    const shuffled = this.getUsable(candidates, now)
      .map((candidate) => ({ candidate, rank: this.random.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ candidate }) => candidate);
    const near = shuffled.filter(({ zone }) => zone === this.zone).slice(0, SAMPLE_SIZE);
    const far = shuffled.filter(({ zone }) => zone !== this.zone).slice(0, SAMPLE_SIZE);
    return [...near, ...far]
      .map((candidate) => ({ candidate, cost: this.costOf(candidate) }))
      .sort((a, b) => a.cost - b.cost)[0]?.candidate;
  }

  /** Counts a request that a peer serves; returns the function that ends it. */
  enter(host: HostId): () => void {
    this.inFlight.set(host, (this.inFlight.get(host) ?? 0) + 1);
    return () => {
      const left = (this.inFlight.get(host) ?? 1) - 1;
      if (left > 0) this.inFlight.set(host, left);
      else this.inFlight.delete(host);
    };
  }

  /** Leaves a peer out for a moment. */
  avoid(host: HostId, now: Millis): void {
    [...this.avoidUntil]
      .filter(([, until]) => until <= now)
      .forEach(([expired]) => this.avoidUntil.delete(expired));
    this.avoidUntil.set(host, now + AVOID_MS);
  }

  /** Gets the number of requests that peers serve in place of this host. */
  countInFlight(): number {
    return [...this.inFlight.values()].reduce((sum, count) => sum + count, 0);
  }

  private costOf({ host, zone }: RelayCandidate): number {
    return (this.inFlight.get(host) ?? 0) + (zone === this.zone ? 0 : OTHER_ZONE_PENALTY);
  }
}
