import type { Millis, SlowStartBounds, UpstreamId } from '@camphorvane/core';

/**
 * Window in which a host may use its quota of one second once, in milliseconds. A request can reach the
 * upstream some hundred milliseconds after it was counted, once its prompt is prefilled or its connection
 * is established; in this window, the requests of two quotas still arrive more than a second apart.
 */
const QUOTA_WINDOW_MS: Millis = 1_500;

interface StartState {
  /** Time until which the upstream reported that it is starting. */
  readonly reportedUntil: Millis;
  /** Time from which the upstream counts as starting, whatever it reported. */
  readonly assumedStartAt: Millis;
  /** Whether the last connection to the upstream failed. */
  readonly isUnreachable: boolean;
  /** Time of the first answer after a failed connection, from which the upstream counts as starting. */
  readonly backAt: Millis;
}

const RUNNING: StartState = {
  reportedUntil: -Infinity,
  assumedStartAt: -Infinity,
  isUnreachable: false,
  backAt: -Infinity,
};

/**
 * Bounds how many requests this host sends to upstreams that have just started.
 *
 * When a zone comes back, its empty upstreams look like the best choice to every host at once, and under
 * the full load they crash before their caches are warm. Each host has its own quota, so that the bound
 * on the sum also holds among hosts that get no gossip of each other. Where a host can't know whether an
 * upstream has restarted, it assumes so.
 */
export class SlowStart {
  private readonly quotaOf: (upstream: UpstreamId, requestsPerSecond: number) => number;

  private bounds: ReadonlyMap<UpstreamId, SlowStartBounds> = new Map();

  private readonly states = new Map<UpstreamId, StartState>();

  /** Times of the requests that count against the quotas. */
  private readonly sentAt = new Map<UpstreamId, readonly Millis[]>();

  /** @param quotaOf - Gets the share of this host in the requests that all hosts may send per second. */
  constructor(
    quotaOf: (upstream: UpstreamId, requestsPerSecond: number) => number = () => Infinity,
  ) {
    this.quotaOf = quotaOf;
  }

  /** Sets the bounds of all upstreams that have any, and drops the counted requests of the others. */
  setBounds(bounds: ReadonlyMap<UpstreamId, SlowStartBounds>): void {
    this.bounds = bounds;
    [...this.sentAt.keys()].filter((id) => !bounds.has(id)).forEach((id) => this.sentAt.delete(id));
  }

  /** Drops the state of upstreams that are not in the given set. */
  retain(listed: ReadonlySet<UpstreamId>): void {
    [...this.states.keys()].filter((id) => !listed.has(id)).forEach((id) => this.states.delete(id));
  }

  /**
   * Records that an upstream has started.
   *
   * @param upstream - The upstream.
   * @param leftMs - Milliseconds until it has started up; undefined where it did not report any.
   * @param now - Present time.
   */
  recordStart(upstream: UpstreamId, leftMs: Millis | undefined, now: Millis): void {
    const state = this.stateOf(upstream);
    const next =
      leftMs === undefined
        ? { ...state, assumedStartAt: now }
        : { ...state, reportedUntil: Math.max(state.reportedUntil, now + leftMs) };
    this.states.set(upstream, next);
  }

  /** Records a failed connection: the upstream may have crashed, and be empty when it is back. */
  recordUnreachable(upstream: UpstreamId): void {
    this.states.set(upstream, { ...this.stateOf(upstream), isUnreachable: true });
  }

  /** Records an answer; an upstream whose last connection failed counts as started now. */
  recordAnswer(upstream: UpstreamId, now: Millis): void {
    const state = this.stateOf(upstream);
    if (!state.isUnreachable) return;
    this.states.set(upstream, { ...state, isUnreachable: false, backAt: now });
  }

  /**
   * Records that connections to upstreams failed since this host had lost its links, and not since they were down.
   *
   * @param upstreams - The upstreams.
   * @param since - When the links were lost; what upstreams report of a start since then still counts.
   */
  recordLinksBack(upstreams: readonly UpstreamId[], since: Millis): void {
    upstreams.forEach((upstream) => {
      const state = this.states.get(upstream);
      if (state === undefined) return;
      const backAt = state.backAt >= since ? -Infinity : state.backAt;
      this.states.set(upstream, { ...state, isUnreachable: false, backAt });
    });
  }

  /**
   * Gets how many requests this host may send to an upstream now.
   *
   * @param upstream - The upstream.
   * @param now - Present time.
   * @returns Number of requests; infinite for an upstream that is not starting or has no bounds.
   */
  allowance(upstream: UpstreamId, now: Millis): number {
    const bounds = this.bounds.get(upstream);
    if (bounds === undefined || !this.isStarting(upstream, bounds, now)) return Infinity;
    const quota = this.quotaOf(upstream, bounds.requestsPerSecond);
    return Math.max(0, quota - this.recentlySent(upstream, now).length);
  }

  /** Counts a request to an upstream against its quota. */
  recordRequest(upstream: UpstreamId, now: Millis): void {
    if (!this.bounds.has(upstream)) return;
    this.sentAt.set(upstream, [...this.recentlySent(upstream, now), now]);
  }

  private isStarting(upstream: UpstreamId, { forMs }: SlowStartBounds, now: Millis): boolean {
    const { reportedUntil, assumedStartAt, isUnreachable, backAt } = this.stateOf(upstream);
    const startedAt = Math.max(assumedStartAt, backAt);
    return isUnreachable || now < reportedUntil || now < startedAt + forMs;
  }

  private recentlySent(upstream: UpstreamId, now: Millis): readonly Millis[] {
    return (this.sentAt.get(upstream) ?? []).filter((at) => at > now - QUOTA_WINDOW_MS);
  }

  private stateOf(upstream: UpstreamId): StartState {
    return this.states.get(upstream) ?? RUNNING;
  }
}
