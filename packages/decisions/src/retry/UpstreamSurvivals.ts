import type { AnswerOrigin, Millis, UpstreamId } from '@camphorvane/core';
import type { ReportAudience } from './CrashReporter.ts';
import type { SurvivalReport } from './CrashReport.ts';

/** Milliseconds for which bytes that an upstream sent before its crash may still arrive. */
const IN_FLIGHT_MS: Millis = 200;

/** Milliseconds after a crash in which no other process answers under the id of the upstream. */
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

/** What shows that a process has not crashed: its own word, an older connection to it, or its id. */
export type SignOfLife = 'process' | 'connection' | 'id';

/**
 * Tells crashes of upstreams from connections that broke off for another reason: an upstream resets connections
 * beyond its limit, and links fail.
 *
 * A sign of life belongs to a process, never to an address: the next process there may answer while the entry of
 * the one that crashed is still listed.
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
   * @param upstream - The process, or the upstream where its process is not known.
   * @param now - Present time.
   * @param origin - What the answer tells of the process that gave it.
   * @returns What shows that it has not crashed when its connection broke off; undefined where nothing does.
   */
  recordAnswer(upstream: UpstreamId, now: Millis, origin: AnswerOrigin): SignOfLife | undefined {
    const at = this.suspectedAt.get(upstream);
    if (at === undefined) return undefined;
    const { askedAt } = origin;
    const by = signOfLife(origin, at, now);
    if (by === undefined) return undefined;
    this.suspectedAt.delete(upstream);
    const until = by === 'process' ? askedAt : now - IN_FLIGHT_MS;
    this.set(upstream, { until, learnedAt: now, isOwn: true });
    return by;
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

/** Gets what shows that a process whose connection broke off at a time goes on after it. */
function signOfLife(origin: AnswerOrigin, at: Millis, now: Millis): SignOfLife | undefined {
  if (origin.type === 'process' && origin.askedAt >= at) return 'process';
  if (now - at < IN_FLIGHT_MS || now - at >= MIN_RESTART_MS) return undefined;
  if (origin.askedAt < at) return 'connection';
  return origin.type === 'id' ? 'id' : undefined;
}

function dropOldest<T>(entries: Map<UpstreamId, T>): void {
  if (entries.size <= MAX_UPSTREAMS) return;
  const oldest = entries.keys().next();
  if (!oldest.done) entries.delete(oldest.value);
}
