import type { Millis, UpstreamId } from '@camphorvane/core';

/** An upstream died while it ran a request; hosts of a group pass this on to one another. */
export interface CrashReport {
  /** Digest of the request's content, the same when its caller sends it again. */
  readonly digest: string;
  readonly upstream: UpstreamId;
  /** Age of the crash; an age and not a time, since no two processes share a clock. */
  readonly ageMs: Millis;
}

/** Limits of a {@link CrashSuspicion}. */
export interface CrashSuspicionOptions {
  /** Different upstreams that must have crashed. */
  readonly crashes: number;
  /** Time after which a crash no longer counts. */
  readonly memoryMs: Millis;
  /** Most digests remembered; those suspected longest ago go first. */
  readonly most: number;
}

/**
 * Two crashes: one may be chance, and each further one costs all streams of an engine. Ten minutes
 * outlast a caller's usual retries, and end the block when engines have been mended. The bound keeps
 * the memory under a megabyte.
 */
export const DEFAULT_CRASH_SUSPICION: CrashSuspicionOptions = {
  crashes: 2,
  memoryMs: 600_000,
  most: 5_000,
};

/**
 * Remembers which requests were running when upstreams crashed, and holds back repeat offenders.
 *
 * What goes wrong: now and then one request crashes every upstream that runs it, and its caller
 * sends it again, so that engine after engine dies with all its streams. One notices that the same
 * content was on each. It is held back by digest, since the caller's next try has another id. A
 * request that got its whole answer is cleared, and suspicion expires, because others on the same
 * engine are under suspicion with it.
 */
export class CrashSuspicion {
  /** By digest, the time of the last crash on each upstream; insertion order is order of suspicion. */
  private readonly crashes = new Map<string, ReadonlyMap<UpstreamId, Millis>>();

  private readonly opts: CrashSuspicionOptions;

  /** @param opts - Limits; those not given have their defaults. */
  constructor(opts: Partial<CrashSuspicionOptions> = {}) {
    this.opts = { ...DEFAULT_CRASH_SUSPICION, ...opts };
  }

  /** Gets how many digests are remembered. */
  get size(): number {
    return this.crashes.size;
  }

  /** Takes in a crash that this host saw or heard of; the same report twice counts once. */
  observe(report: CrashReport, now: Millis): void {
    const at = now - report.ageMs;
    if (report.ageMs >= this.opts.memoryMs) return;
    const known = new Map(this.getRecent(report.digest, now));
    known.set(report.upstream, Math.max(at, known.get(report.upstream) ?? -Infinity));
    this.crashes.delete(report.digest);
    this.crashes.set(report.digest, known);
    if (this.crashes.size <= this.opts.most) return;
    const oldest = this.crashes.keys().next();
    if (!oldest.done) this.crashes.delete(oldest.value);
  }

  /** Forgets a request that has got its whole answer: it is not what crashed the upstreams. */
  clear(digest: string): void {
    this.crashes.delete(digest);
  }

  /**
   * Gets how long a request is still held back.
   *
   * @param digest - Digest of the request's content.
   * @param now - Present time.
   * @returns Milliseconds, for the refusal's retry-after; undefined where it may run.
   */
  getHeldBackMs(digest: string, now: Millis): Millis | undefined {
    const times = [...this.getRecent(digest, now).values()].sort((a, b) => b - a);
    const deciding = times[this.opts.crashes - 1];
    return deciding === undefined ? undefined : deciding + this.opts.memoryMs - now;
  }

  /** Gets what is remembered, to be passed on to a host that has joined the group. */
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
    const recent = all.filter(([, at]) => now - at < this.opts.memoryMs);
    if (recent.length === 0) this.crashes.delete(digest);
    return new Map(recent);
  }
}
