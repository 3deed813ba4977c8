import type { Millis, UpstreamId } from '@camphorvane/core';

/** A crash of an upstream while it ran a request, as hosts report it to each other. */
export interface CrashReport {
  /** Digest of the request's content, the same for each retry by its caller. */
  readonly digest: string;
  readonly upstream: UpstreamId;
  /** Milliseconds since the crash; an age instead of a time, since hosts do not share a clock. */
  readonly ageMs: Millis;
}

/** Limits of a {@link CrashSuspects}. */
export interface CrashSuspectsOptions {
  /** Distinct upstreams that must have crashed before a request is blocked. */
  readonly minUpstreams: number;
  /** Milliseconds after which a crash no longer counts. */
  readonly retentionMs: Millis;
  /** Most digests kept; the one whose last crash report is oldest is evicted first. */
  readonly maxDigests: number;
}

/**
 * Default limits. One crash may be a coincidence, and each further one costs all streams of an engine.
 * Ten minutes outlast a caller's usual retries, and the block ends once engines have been repaired.
 * The number of digests keeps the memory under a megabyte.
 */
export const DEFAULT_CRASH_SUSPECTS: CrashSuspectsOptions = {
  minUpstreams: 2,
  retentionMs: 600_000,
  maxDigests: 5_000,
};

/**
 * Records which requests were running when upstreams crashed, and blocks those seen at several crashes.
 *
 * Guards against a request that crashes each upstream that runs it while its caller keeps retrying, so
 * that one engine after the other fails with all its streams. Requests are identified by a digest of
 * their content, since each retry by a caller has a new id. Requests that merely ran on the same engine
 * are suspected as well, so a complete answer clears a request and every record expires.
 */
export class CrashSuspects {
  /** Time of the last crash of each upstream by digest, in order of the last report of the digest. */
  private readonly crashes = new Map<string, ReadonlyMap<UpstreamId, Millis>>();

  private readonly opts: CrashSuspectsOptions;

  /** @param opts - Limits; those left out have their defaults. */
  constructor(opts: Partial<CrashSuspectsOptions> = {}) {
    this.opts = { ...DEFAULT_CRASH_SUSPECTS, ...opts };
  }

  /** Gets the number of digests kept. */
  get size(): number {
    return this.crashes.size;
  }

  /** Records a crash that this host or a peer detected; a repeated report counts once. */
  recordCrash(report: CrashReport, now: Millis): void {
    const crashedAt = now - report.ageMs;
    if (report.ageMs >= this.opts.retentionMs) return;
    const known = new Map(this.getRecent(report.digest, now));
    known.set(report.upstream, Math.max(crashedAt, known.get(report.upstream) ?? -Infinity));
    this.crashes.delete(report.digest);
    this.crashes.set(report.digest, known);
    if (this.crashes.size <= this.opts.maxDigests) return;
    const oldest = this.crashes.keys().next();
    if (!oldest.done) this.crashes.delete(oldest.value);
  }

  /** Clears a request that got its complete answer, so it did not cause the crashes. */
  clear(digest: string): void {
    this.crashes.delete(digest);
  }

  /**
   * Gets how much longer a request is blocked.
   *
   * @param digest - Digest of the request's content.
   * @param now - Present time.
   * @returns Milliseconds, for the refusal's retry-after; undefined if the request may run.
   */
  getBlockedMs(digest: string, now: Millis): Millis | undefined {
    const newestFirst = [...this.getRecent(digest, now).values()].sort((a, b) => b - a);
    const decisive = newestFirst[this.opts.minUpstreams - 1];
    return decisive === undefined ? undefined : decisive + this.opts.retentionMs - now;
  }

  /** Gets the number of distinct upstreams that crashed while they ran a request. */
  countCrashes(digest: string, now: Millis): number {
    return this.getRecent(digest, now).size;
  }

  /** Gets all recorded crashes, to be sent to a host that joins the group. */
  getReports(now: Millis): readonly CrashReport[] {
    return [...this.crashes.keys()].flatMap((digest) =>
      [...this.getRecent(digest, now)].map(([upstream, at]) => ({
        digest,
        upstream,
        ageMs: now - at,
      })),
    );
  }

  private getRecent(digest: string, now: Millis): ReadonlyMap<UpstreamId, Millis> {
    const all = [...(this.crashes.get(digest) ?? [])];
    const recent = all.filter(([, at]) => now - at < this.opts.retentionMs);
    if (recent.length === 0) this.crashes.delete(digest);
    return new Map(recent);
  }
}
