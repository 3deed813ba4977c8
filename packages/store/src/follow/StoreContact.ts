import type { HostId, Millis } from '@camphorvane/core';
import { contain } from '@camphorvane/core';
import type { PlatformError } from '../ObjectStore.ts';

/** A span of time on the monotonic clock of a host, in milliseconds. */
interface TimeSpan {
  readonly from: Millis;
  readonly until: Millis;
}

/** A time without a response of the store, in which calls failed. */
interface ContactGap extends TimeSpan {
  /** Since when calls made anew have failed; before that a connection alone may have been lost. */
  readonly shownFrom: Millis;
}

/** What a host reports to its peers of the responses that it got from the store. */
export interface ContactReport {
  /** Milliseconds since the store last responded to the host. */
  readonly answeredMsAgo: Millis;
  /** Milliseconds for which it had responded by then without an outage in which entries may expire. */
  readonly steadyMs: Millis;
}

/** For how long the store may have responded to no host. */
export interface OutageBounds {
  /** Milliseconds without any response. */
  readonly possibleMs: Millis;
  /** Milliseconds in which calls made anew failed as well. */
  readonly shownMs: Millis;
  /** When the store responded again; the present while it does not. */
  readonly returnedAt: Millis;
}

/** How long an ended outage is remembered, in milliseconds. */
const MEMORY_MS: Millis = 30_000;

/** Most peers whose reports are kept. */
const MAX_PEERS = 1_000;

/**
 * Knows when the store responded, from all calls of a host and from what its peers report.
 *
 * An entry that its server could not renew expires only if the store responded to nobody for long. A call that is
 * lost with its connection, is refused for its rate or is turned away while another call gets a response shows no such
 * outage: an entry that is missing after it was removed.
 */
export class StoreContact {
  private answeredAt: Millis;

  /** Since when the store has responded without an outage in which entries may expire. */
  private steadySince: Millis;

  private hasAnswered = false;

  private firstFailedAt: Millis | undefined;

  private shownFrom: Millis | undefined;

  private gaps: readonly ContactGap[] = [];

  private readonly lossListeners: (() => void)[] = [];

  /** When the store responded to each peer, by its last report. */
  private readonly peers = new Map<HostId, TimeSpan>();

  private readonly minOutageMs: Millis;

  /**
   * @param now - Present time.
   * @param minOutageMs - Shortest outage in milliseconds in which entries may expire. For a longer time without a
   * response a host does not vouch to its peers, also where it made no call.
   */
  constructor(now: Millis, minOutageMs: Millis) {
    this.answeredAt = now;
    this.steadySince = now;
    this.minOutageMs = minOutageMs;
  }

  /**
   * Registers a listener for the first call since a response that is lost with its connection.
   *
   * @param listener - Called at such a loss.
   */
  onConnectionLost(listener: () => void): void {
    this.lossListeners.push(listener);
  }

  /**
   * Records a response of the store.
   *
   * @param now - Present time.
   */
  recordResponse(now: Millis): void {
    const { shownFrom } = this;
    if (shownFrom !== undefined) {
      const recent = this.gaps.filter(({ until }) => now - until < MEMORY_MS);
      this.gaps = [...recent, { from: this.answeredAt, shownFrom, until: now }];
    }
    const isSteady = this.hasAnswered && now - this.answeredAt < this.minOutageMs;
    if (!isSteady) this.steadySince = now;
    this.hasAnswered = true;
    this.answeredAt = now;
    this.firstFailedAt = undefined;
    this.shownFrom = undefined;
  }

  /**
   * Records a call that failed.
   *
   * @param error - How it failed.
   * @param startedAt - When it was made.
   * @param now - Present time.
   */
  recordFailure(error: PlatformError, startedAt: Millis, now: Millis): void {
    // The store was at work to count the call, to compare a version or to tell that its history is gone.
    if (error.type !== 'unavailable') {
      this.recordResponse(now);
      return;
    }
    const isFirst = this.firstFailedAt === undefined;
    if (error.hasResponded === true) this.shownFrom ??= this.firstFailedAt ?? now;
    else if (this.firstFailedAt !== undefined && startedAt >= this.firstFailedAt)
      this.shownFrom ??= this.firstFailedAt;
    this.firstFailedAt ??= now;
    if (isFirst && error.hasResponded !== true)
      this.lossListeners.forEach((listener) => contain('store.lost', listener));
  }

  /**
   * Records what a peer reports; its last report replaces the one before.
   *
   * @param peer - The peer.
   * @param report - What it reports.
   * @param now - Present time.
   */
  receive(peer: HostId, report: ContactReport, now: Millis): void {
    const until = now - report.answeredMsAgo;
    this.peers.delete(peer);
    this.peers.set(peer, { from: until - report.steadyMs, until });
    const [oldest] = this.peers.keys();
    if (this.peers.size > MAX_PEERS && oldest !== undefined) this.peers.delete(oldest);
  }

  /** Gets what to report to peers; undefined before the first response. */
  getReport(now: Millis): ContactReport | undefined {
    if (!this.hasAnswered) return undefined;
    const steadyMs = Math.round(this.answeredAt - this.steadySince);
    return { answeredMsAgo: Math.round(now - this.answeredAt), steadyMs };
  }

  /**
   * Gets the longest time for which the store responded to no host that is known of, among those that ended after one
   * moment and began before another.
   *
   * @param span - The moments.
   * @param now - Present time.
   * @returns The outage; undefined where there was none.
   */
  getOutage({ from, until }: TimeSpan, now: Millis): OutageBounds | undefined {
    return this.getGaps(now)
      .filter((gap) => gap.until > from && gap.from < until)
      .flatMap((gap) => this.withoutPeers(gap).map((part) => ({ ...part, gap })))
      .map(({ gap, ...part }): OutageBounds => ({
        possibleMs: part.until - part.from,
        shownMs: Math.max(0, part.until - Math.max(part.from, gap.shownFrom)),
        returnedAt: part.until,
      }))
      .sort((a, b) => b.shownMs - a.shownMs || b.possibleMs - a.possibleMs)
      .at(0);
  }

  /**
   * Gets for how long calls to the store failed in a span of time while no host got a response.
   *
   * @param since - Start of the span.
   * @param now - Present time, its end.
   * @returns Milliseconds.
   */
  getAwayMs(since: Millis, now: Millis): Millis {
    return this.getGaps(now)
      .map(({ shownFrom, until }): TimeSpan => ({ from: Math.max(since, shownFrom), until }))
      .flatMap((span) => this.withoutPeers(span))
      .reduce((sum, { from, until }) => sum + until - from, 0);
  }

  private getGaps(now: Millis): readonly ContactGap[] {
    const { shownFrom } = this;
    if (shownFrom === undefined) return this.gaps;
    return [...this.gaps, { from: this.answeredAt, shownFrom, until: now }];
  }

  /** Gets the parts of a span in which the store responded to no peer either. */
  private withoutPeers({ from, until }: TimeSpan): readonly TimeSpan[] {
    return [...this.peers.values()].reduce<readonly TimeSpan[]>(
      (parts, steady) => parts.flatMap((part) => subtract(part, steady)),
      from < until ? [{ from, until }] : [],
    );
  }
}

/** Gets the parts of a span that another one leaves. */
function subtract(span: TimeSpan, other: TimeSpan): readonly TimeSpan[] {
  if (other.until <= span.from || other.from >= span.until) return [span];
  const before = { from: span.from, until: other.from };
  const after = { from: other.until, until: span.until };
  return [before, after].filter(({ from, until }) => until > from);
}
