import type { Millis, UpstreamId } from '@camphorvane/core';
import type { CrashReport, SurvivalReport, SuspicionReports } from './CrashReport.ts';
import { RecentAnswers } from './RecentAnswers.ts';
import { UpstreamSurvivals } from './UpstreamSurvivals.ts';

/** Limits of a {@link CrashSuspects}. */
export interface CrashSuspectsOptions {
  /** Distinct upstreams that must have crashed before a request is blocked. */
  readonly minUpstreams: number;
  /** Milliseconds in which a crash may still be withdrawn, and blocks no new request. */
  readonly confirmMs: Millis;
  /** Milliseconds after its last crash for which a request is blocked. */
  readonly blockMs: Millis;
  /** Milliseconds after which a crash no longer counts. */
  readonly retentionMs: Millis;
  /** Most digests kept. */
  readonly maxDigests: number;
}

/**
 * Default limits. One crash may be a coincidence, and each further one costs all streams of an engine.
 * Ten minutes outlast a caller's usual retries, and the block ends once engines have been repaired. Crashes
 * count for longer than that: a request that comes again after its block is blocked by its next crash.
 * The number of digests keeps the memory between 2 MB, with one crash each, and 12 MB, with sixteen.
 */
export const DEFAULT_CRASH_SUSPECTS: CrashSuspectsOptions = {
  minUpstreams: 2,
  confirmMs: 0,
  blockMs: 600_000,
  retentionMs: 3_600_000,
  maxDigests: 5_000,
};

/** Whether a host detected a crash itself, learned it from a peer, or had stored it before its restart. */
export type ReportOrigin = 'own' | 'peer' | 'stored';

/** Whom a report is for: the peers of this host, or all hosts that a relay reports to. */
export type ReportAudience = 'peers' | 'relayed';

/** Characters of a digest that identify a request; the full digest would take four times the bytes. */
const KEY_LENGTH = 16;

/** Most upstreams that are kept for a request, the latest ones. */
const MAX_UPSTREAMS = 16;

/** Crashes from which on a request is reported until they expire: hosts that start or return need them. */
const MIN_REPEATED_CRASHES = 2;

/** Milliseconds for which a new crash is in every report, so that losing some of them does no harm. */
const FRESH_MS: Millis = 2_000;

/** Milliseconds between two reports of older crashes to peers. */
const REPEAT_MS: Millis = 2_000;

/** Most crashes in one report: 4 KB where many requests share a crash, 11 KB where none do. */
const MAX_REPORTED = 192;

/** Milliseconds within which all reports of an upstream are of one crash: a host that was frozen reads late. */
const SAME_CRASH_MS: Millis = 30_000;

interface Crash {
  readonly at: Millis;
  readonly isOwn: boolean;
}

type Crashes = ReadonlyMap<UpstreamId, Crash>;

/**
 * Records which requests were running when upstreams crashed, and blocks those seen at several crashes.
 *
 * Guards against a request that crashes each upstream that runs it while its caller keeps retrying, so
 * that one engine after the other fails with all its streams. Requests are identified by a digest of
 * their content, since each retry by a caller has a new id.
 *
 * Requests that merely ran on the same engine are suspected as well. A success clears a request, and a
 * crash that a request with more crashes explains does not count for the others.
 */
export class CrashSuspects {
  /** Crashes by request, in order of the last new crash of the request. */
  private readonly suspects = new Map<string, Crashes>();

  /** Requests with several crashes. */
  private readonly repeated = new Set<string>();

  /** Until when a request is in every report. */
  private readonly freshUntil = new Map<string, Millis>();

  private readonly answers = new RecentAnswers();

  private readonly survivals = new UpstreamSurvivals();

  private repeatedAt: Millis = -Infinity;

  private readonly opts: CrashSuspectsOptions;

  /** @param opts - Limits; those left out have their defaults. */
  constructor(opts: Partial<CrashSuspectsOptions> = {}) {
    this.opts = { ...DEFAULT_CRASH_SUSPECTS, ...opts };
  }

  /** Gets the number of digests kept. */
  get size(): number {
    return this.suspects.size;
  }

  /**
   * Records a crash that this host or a peer detected; a repeated report counts once.
   *
   * @param report - The crash.
   * @param now - Present time.
   * @param origin - Who detected it.
   * @returns Whether it was unknown.
   */
  recordCrash(report: CrashReport, now: Millis, origin: ReportOrigin = 'own'): boolean {
    const { upstream, ageMs } = report;
    if (ageMs >= this.opts.retentionMs) return false;
    const key = toKey(report.digest);
    const crashes = new Map(this.suspects.get(key));
    const kept = crashes.get(upstream);
    // A crash that no longer counts does not stand for a later one of the same upstream.
    const known = this.counts(key, upstream, kept?.at ?? -Infinity, now) ? kept : undefined;
    const at = now - ageMs;
    if (this.survivals.hasSurvived(upstream, at)) return false;
    const isNew = known === undefined || at > known.at + SAME_CRASH_MS;
    const isOwn = origin !== 'peer' || known?.isOwn === true;
    // The earliest time: reports arrive late, and would move it forward each time that they are passed on.
    crashes.set(upstream, { at: isNew ? at : Math.min(at, known.at), isOwn });
    if (!isNew) {
      this.suspects.set(key, crashes);
      return false;
    }
    this.survivals.recordBreak(upstream, at);
    this.suspects.delete(key);
    this.suspects.set(key, newestCrashes(crashes));
    if (crashes.size >= MIN_REPEATED_CRASHES) this.repeated.add(key);
    this.freshUntil.set(key, now + FRESH_MS);
    this.evict();
    return true;
  }

  /**
   * Records a success of a request, which clears it of earlier crashes.
   *
   * @param digest - Digest of the request's content.
   * @param now - Present time.
   * @param ageMs - Milliseconds since the success, for one that a peer reported.
   */
  recordAnswer(digest: string, now: Millis, ageMs?: Millis): void {
    const key = toKey(digest);
    const isOwn = ageMs === undefined;
    if (isOwn && this.getCounted(key, now).length > 0) this.freshUntil.set(key, now + FRESH_MS);
    this.answers.record(key, now - (ageMs ?? 0), isOwn);
  }

  /**
   * Records an answer of an upstream to any request, which may show that it has not crashed.
   *
   * @param upstream - The upstream.
   * @param now - Present time.
   * @returns Whether crashes of it were withdrawn.
   */
  recordSignOfLife(upstream: UpstreamId, now: Millis): boolean {
    return this.survivals.recordAnswer(upstream, now);
  }

  /** Withdraws the crashes of an upstream that a peer found alive. */
  receiveSurvival(report: SurvivalReport, now: Millis): void {
    this.survivals.receive(report, now);
  }

  /** Gets the number of distinct upstreams whose crashes count against a request. */
  countCrashes(digest: string, now: Millis): number {
    return this.getUnexplained(toKey(digest), now).length;
  }

  /**
   * Gets how much longer a request is blocked.
   *
   * @param digest - Digest of the request's content.
   * @param now - Present time.
   * @returns Milliseconds, for the refusal's retry-after; undefined if the request may run.
   */
  getBlockedMs(digest: string, now: Millis): Millis | undefined {
    return this.getBlockedMsBy(digest, now, this.opts.confirmMs);
  }

  /** Tells whether a request is blocked, or will be unless one of its crashes is withdrawn. */
  isSuspect(digest: string, now: Millis): boolean {
    return this.getBlockedMsBy(digest, now, 0) !== undefined;
  }

  /**
   * Gets what to report to other hosts: new crashes and successes for a short time, and the crashes of
   * requests with several of them until they expire.
   *
   * @param now - Present time.
   * @param audience - Peers get this host's own new crashes; a relay passes on those of all hosts.
   * @returns The reports, those of the requests with most crashes first.
   */
  getReports(now: Millis, audience: ReportAudience): SuspicionReports {
    const fresh = [...this.freshUntil].filter(([key, until]) => {
      const isFresh = until > now && this.suspects.has(key);
      if (!isFresh) this.freshUntil.delete(key);
      return isFresh;
    });
    const freshKeys = fresh.map(([key]) => key).reverse();
    const keys = new Set([...freshKeys, ...this.takeRepeated(now, audience)]);
    const crashes = [...keys]
      .map((digest) => ({ digest, crashes: this.getCounted(digest, now) }))
      .sort((a, b) => b.crashes.length - a.crashes.length)
      .flatMap((one) =>
        one.crashes
          .filter(
            ([, { isOwn }]) =>
              isOwn || audience === 'relayed' || one.crashes.length >= MIN_REPEATED_CRASHES,
          )
          .map(([upstream, { at }]) => ({ digest: one.digest, upstream, ageMs: now - at })),
      )
      .slice(0, MAX_REPORTED);
    const answers = freshKeys
      .flatMap((digest) => {
        const answer = this.answers.get(digest);
        const isReported = answer !== undefined && (answer.isOwn || audience === 'relayed');
        return isReported ? [{ digest, ageMs: now - answer.at }] : [];
      })
      .slice(0, MAX_REPORTED);
    return { crashes, answers, survivals: this.survivals.getReports(now, audience) };
  }

  /** Gets the crashes of suspected requests that this host detected one of itself, for hosts that start later. */
  getSuspectReports(now: Millis): readonly CrashReport[] {
    return [...this.repeated]
      .filter((key) => this.isSuspect(key, now))
      .map((digest) => ({ digest, crashes: this.getCounted(digest, now) }))
      .filter(({ crashes }) => crashes.some(([, { isOwn }]) => isOwn))
      .flatMap(({ digest, crashes }) =>
        crashes.map(([upstream, { at }]) => ({ digest, upstream, ageMs: now - at })),
      )
      .slice(-MAX_REPORTED);
  }

  /** Gets how much longer a request is blocked by its crashes of at least a certain age. */
  private getBlockedMsBy(digest: string, now: Millis, minAgeMs: Millis): Millis | undefined {
    const { blockMs, minUpstreams } = this.opts;
    const crashes = this.getUnexplained(toKey(digest), now).filter(
      ([, { at }]) => at <= now - minAgeMs,
    );
    if (crashes.length < minUpstreams) return undefined;
    const leftMs = Math.max(...crashes.map(([, { at }]) => at)) + blockMs - now;
    return leftMs > 0 ? leftMs : undefined;
  }

  private takeRepeated(now: Millis, audience: ReportAudience): Iterable<string> {
    if (audience === 'relayed') return this.repeated;
    if (now - this.repeatedAt < REPEAT_MS) return [];
    this.repeatedAt = now;
    return this.repeated;
  }

  /** Gets the crashes of a request that no request with more crashes explains. */
  private getUnexplained(key: string, now: Millis): readonly (readonly [UpstreamId, Crash])[] {
    const own = this.getCounted(key, now);
    if (own.length < this.opts.minUpstreams) return own;
    const stronger = [...this.repeated]
      .filter((other) => other !== key)
      .map((other) => this.getCounted(other, now))
      .filter((crashes) => crashes.length > own.length)
      .map((crashes) => new Map(crashes));
    return own.filter(
      ([upstream, { at }]) =>
        !stronger.some((crashes) => {
          const other = crashes.get(upstream);
          return other !== undefined && Math.abs(other.at - at) <= SAME_CRASH_MS;
        }),
    );
  }

  /** Gets the crashes of a request that count. */
  private getCounted(key: string, now: Millis): readonly (readonly [UpstreamId, Crash])[] {
    const counted = [...(this.suspects.get(key) ?? [])].filter(([upstream, { at }]) =>
      this.counts(key, upstream, at, now),
    );
    if (counted.length < MIN_REPEATED_CRASHES) this.repeated.delete(key);
    return counted;
  }

  /** Tells whether a crash has neither expired nor been cleared by a success or a survival. */
  private counts(key: string, upstream: UpstreamId, at: Millis, now: Millis): boolean {
    const isRecent = at > now - this.opts.retentionMs && at > this.answers.getClearedUntil(key);
    return isRecent && !this.survivals.hasSurvived(upstream, at);
  }

  /** Drops the request whose last crash is oldest, one with a single crash if there is any. */
  private evict(): void {
    if (this.suspects.size <= this.opts.maxDigests) return;
    const keys = [...this.suspects.keys()];
    const dropped = keys.find((key) => !this.repeated.has(key)) ?? keys[0] ?? '';
    this.suspects.delete(dropped);
    this.repeated.delete(dropped);
    this.freshUntil.delete(dropped);
  }
}

function toKey(digest: string): string {
  return digest.slice(0, KEY_LENGTH);
}

function newestCrashes(crashes: Crashes): Crashes {
  if (crashes.size <= MAX_UPSTREAMS) return crashes;
  const [oldest] = [...crashes].sort(([, a], [, b]) => a.at - b.at);
  return new Map([...crashes].filter(([upstream]) => upstream !== oldest?.[0]));
}
