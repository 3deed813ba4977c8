import type { Millis, UpstreamId } from '@camphorvane/core';
import type { ReportAudience } from './CrashReporter.ts';
import type { SurvivalReport } from './CrashReport.ts';

/** Milliseconds for which bytes that an upstream sent before its crash may still arrive. */
const IN_FLIGHT_MS: Millis = 200;

/** Milliseconds after a crash in which no other process answers under the name of the upstream. */
const MIN_RESTART_MS: Millis = 1_000;

/** Milliseconds for which a survival is in every report. */
const REPORTED_MS: Millis = 2_000;

/** Most upstreams that are remembered. */
const MAX_UPSTREAMS = 200;

interface Survival {
  /** Time up to which the upstream certainly had not crashed. */
  readonly until: Millis;
  readonly learnedAt: Millis;
  readonly isOwn: boolean;
}

/**
 * Tells crashes of upstreams from connections that broke off for another reason.
 *
 * An upstream resets connections beyond its limit, and links fail. One that answers a moment later is the same
 * process, since a restart takes longer.
 */
export class UpstreamSurvivals {
  private readonly suspectedAt = new Map<UpstreamId, Millis>();

  private readonly survivals = new Map<UpstreamId, Survival>();

  /** Records that a connection to an upstream broke off. */
  recordBreak(upstream: UpstreamId, at: Millis): void {
    this.suspectedAt.delete(upstream);
    this.suspectedAt.set(upstream, at);
    dropOldest(this.suspectedAt);
  }

  /**
   * Records an answer of an upstream.
   *
   * @param upstream - The upstream.
   * @param now - Present time.
   * @returns Whether it shows that the upstream has not crashed when its connection broke off.
   */
  recordAnswer(upstream: UpstreamId, now: Millis): boolean {
    const at = this.suspectedAt.get(upstream);
    if (at === undefined || now - at < IN_FLIGHT_MS) return false;
    this.suspectedAt.delete(upstream);
    if (now - at >= MIN_RESTART_MS) return false;
    this.set(upstream, { until: now - IN_FLIGHT_MS, learnedAt: now, isOwn: true });
    return true;
  }

  /** Records what a peer reported. */
  receive({ upstream, ageMs }: SurvivalReport, now: Millis): void {
    const until = now - ageMs;
    if ((this.survivals.get(upstream)?.until ?? -Infinity) >= until) return;
    this.set(upstream, { until, learnedAt: now, isOwn: false });
  }

  /** Tells whether an upstream had not crashed at a time. */
  hasSurvived(upstream: UpstreamId, at: Millis): boolean {
    return at <= (this.survivals.get(upstream)?.until ?? -Infinity);
  }

  /** Gets what to report to other hosts. */
  getReports(now: Millis, audience: ReportAudience): readonly SurvivalReport[] {
    return [...this.survivals]
      .filter(([, { learnedAt }]) => now - learnedAt < REPORTED_MS)
      .filter(([, { isOwn }]) => isOwn || audience === 'relayed')
      .map(([upstream, { until }]) => ({ upstream, ageMs: now - until }));
  }

  private set(upstream: UpstreamId, survival: Survival): void {
    this.survivals.delete(upstream);
    this.survivals.set(upstream, survival);
    dropOldest(this.survivals);
  }
}

function dropOldest<T>(entries: Map<UpstreamId, T>): void {
  if (entries.size <= MAX_UPSTREAMS) return;
  const oldest = entries.keys().next();
  if (!oldest.done) entries.delete(oldest.value);
}
