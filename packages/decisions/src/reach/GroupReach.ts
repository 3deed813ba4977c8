import type { Millis, UpstreamId } from '@camphorvane/core';

/**
 * Upstreams that must be out of reach before this host's own links are doubted; fewer may have failed by
 * themselves.
 */
const MIN_FAILED_UPSTREAMS = 3;

/** What the failed connections to a group of upstreams show. */
export interface UnreachedUpstreams {
  /** When the first of the failed connections was attempted. */
  readonly since: Millis;
  /** Upstreams to which connections have failed since any was reached. */
  readonly failed: number;
  /** All upstreams of the group. */
  readonly listed: number;
}

/** Which upstreams of one group a host reaches, by the new connections that it attempts. */
export class GroupReach {
  private listed: readonly UpstreamId[] = [];

  private contactAt: Millis = -Infinity;

  /** Upstreams to which the last connection failed, with the time at which it was attempted. */
  private readonly failedAt = new Map<UpstreamId, Millis>();

  /** Upstreams that failed while others were reached, and have not been reached since: down by themselves. */
  private readonly down = new Set<UpstreamId>();

  /** When the first connection that failed since the last contact was attempted. */
  private failingSince: Millis = Infinity;

  /** Applies the listed upstreams. */
  setUpstreams(upstreams: readonly UpstreamId[]): void {
    this.listed = upstreams;
    const known = new Set(upstreams);
    [...this.failedAt.keys()]
      .filter((id) => !known.has(id))
      .forEach((id) => this.failedAt.delete(id));
    [...this.down].filter((id) => !known.has(id)).forEach((id) => this.down.delete(id));
    if (this.failedAt.size === 0) this.failingSince = Infinity;
  }

  /** Gets the listed upstreams: those down by themselves last, and of the others those that failed longest ago first. */
  getMostTelling(): readonly UpstreamId[] {
    const at = (id: UpstreamId): Millis => this.failedAt.get(id) ?? -Infinity;
    const rank = (id: UpstreamId): number => Number(this.down.has(id));
    return [...this.listed].sort((a, b) => rank(a) - rank(b) || at(a) - at(b));
  }

  /**
   * Records an established connection.
   *
   * Failures after it was attempted stand: connections that were opened before links were lost can live on. Those
   * before it were no failures of the links.
   */
  recordContact(upstream: UpstreamId, attemptedAt: Millis): void {
    this.contactAt = Math.max(this.contactAt, attemptedAt);
    [...this.failedAt]
      .filter(([, at]) => at <= attemptedAt)
      .forEach(([id]) => {
        this.failedAt.delete(id);
        this.down.add(id);
      });
    this.down.delete(upstream);
    if (attemptedAt >= this.failingSince) {
      this.failingSince = Math.min(...this.failedAt.values());
    }
  }

  /** Records a failed connection; one attempted before the last contact shows nothing of the links. */
  recordFailure(upstream: UpstreamId, attemptedAt: Millis): void {
    if (attemptedAt <= this.contactAt || !this.listed.includes(upstream)) return;
    this.failedAt.set(upstream, attemptedAt);
    this.failingSince = Math.min(this.failingSince, attemptedAt);
  }

  /** Gets when the last established connection was attempted; -Infinity before the first. */
  getContactAt(): Millis {
    return this.contactAt;
  }

  /** Tells whether a connection has failed since the last contact. */
  isDoubtful(): boolean {
    return this.failedAt.size > 0;
  }

  /** Gets what is out of reach; undefined unless enough upstreams have failed and none was reached since. */
  getUnreached(): UnreachedUpstreams | undefined {
    const failed = this.failedAt.size;
    const listed = this.listed.length;
    if (failed === 0 || failed < Math.min(MIN_FAILED_UPSTREAMS, listed)) return undefined;
    const telling = [...this.failedAt.keys()].filter((id) => !this.down.has(id)).length;
    if (telling < Math.min(MIN_FAILED_UPSTREAMS, listed - this.down.size)) return undefined;
    return { since: this.failingSince, failed, listed };
  }
}
