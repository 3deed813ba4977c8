import type { Millis, SlowStartBounds, UpstreamId } from '@camphorvane/core';

/**
 * Milliseconds in which a host uses its quota of a second once. A request may leave some hundred
 * milliseconds after it was counted here, when its prompt is read or its connection stands; requests
 * that are counted this far apart still arrive more than a second apart.
 */
const QUOTA_WINDOW_MS: Millis = 1_500;

interface StartState {
  /** Time up to which the upstream said that it is starting. */
  readonly until: Millis;
  /** Time from which on it is taken for starting, whatever it says. */
  readonly startedAt: Millis;
  /** Whether the last connection to it failed. */
  readonly isUnreachable: boolean;
}

const RUNNING: StartState = { until: -Infinity, startedAt: -Infinity, isUnreachable: false };

/**
 * Bounds how many requests this host sends to upstreams that have just started.
 *
 * Made for a zone that comes back empty: its upstreams look like the best choice to every host at once,
 * and crash under the full load before their caches are warm. Each host has a quota of its own, so that
 * the sum holds also among hosts that get no hints of each other. Where a host can't know whether an upstream
 * has started anew, it takes it for starting.
 */
export class SlowStart {
  private readonly quotaOf: (upstream: UpstreamId, requestsPerSecond: number) => number;

  private bounds: ReadonlyMap<UpstreamId, SlowStartBounds> = new Map();

  private readonly states = new Map<UpstreamId, StartState>();

  /** Times of the requests that count against the quotas. */
  private readonly sent = new Map<UpstreamId, readonly Millis[]>();

  /** @param quotaOf - Gets this host's part of the requests that all hosts may send in a second. */
  constructor(
    quotaOf: (upstream: UpstreamId, requestsPerSecond: number) => number = () => Infinity,
  ) {
    this.quotaOf = quotaOf;
  }

  /** Takes the bounds of all upstreams that have some into force, and forgets the others. */
  reshape(bounds: ReadonlyMap<UpstreamId, SlowStartBounds>): void {
    this.bounds = bounds;
    [...this.sent.keys()].filter((id) => !bounds.has(id)).forEach((id) => this.sent.delete(id));
  }

  /** Forgets the states of upstreams that are not listed any more. */
  keepOnly(listed: ReadonlySet<UpstreamId>): void {
    [...this.states.keys()].filter((id) => !listed.has(id)).forEach((id) => this.states.delete(id));
  }

  /**
   * Notes that an upstream has started.
   *
   * @param upstream - The upstream.
   * @param leftMs - Milliseconds that it goes on starting; undefined where that is not known.
   * @param now - Present time.
   */
  started(upstream: UpstreamId, leftMs: Millis | undefined, now: Millis): void {
    const state = this.stateOf(upstream);
    const next =
      leftMs === undefined
        ? { ...state, startedAt: now }
        : { ...state, until: Math.max(state.until, now + leftMs) };
    this.states.set(upstream, next);
  }

  /** Notes that an upstream gave no connection: it may have crashed, and be empty when it is back. */
  unreachable(upstream: UpstreamId): void {
    this.states.set(upstream, { ...this.stateOf(upstream), isUnreachable: true });
  }

  /** Notes that an upstream answered; one that gave no connection before counts as started now. */
  answered(upstream: UpstreamId, now: Millis): void {
    const state = this.stateOf(upstream);
    if (!state.isUnreachable) return;
    this.states.set(upstream, { ...state, isUnreachable: false, startedAt: now });
  }

  /** Gets how many requests this host may send to an upstream now. */
  allowance(upstream: UpstreamId, now: Millis): number {
    const bounds = this.bounds.get(upstream);
    if (bounds === undefined || !this.isStarting(upstream, bounds, now)) return Infinity;
    const quota = this.quotaOf(upstream, bounds.requestsPerSecond);
    return Math.max(0, quota - this.recent(upstream, now).length);
  }

  /** Counts a request to an upstream. */
  used(upstream: UpstreamId, now: Millis): void {
    if (!this.bounds.has(upstream)) return;
    this.sent.set(upstream, [...this.recent(upstream, now), now]);
  }

  private isStarting(upstream: UpstreamId, { forMs }: SlowStartBounds, now: Millis): boolean {
    const { until, startedAt, isUnreachable } = this.stateOf(upstream);
    return isUnreachable || now < until || now < startedAt + forMs;
  }

  private recent(upstream: UpstreamId, now: Millis): readonly Millis[] {
    return (this.sent.get(upstream) ?? []).filter((at) => at > now - QUOTA_WINDOW_MS);
  }

  private stateOf(upstream: UpstreamId): StartState {
    return this.states.get(upstream) ?? RUNNING;
  }
}
