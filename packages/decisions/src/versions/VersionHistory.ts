import type { Millis, ModelId, SoftwareVersion } from '@camphorvane/core';

/** Most versions that are remembered for a pool; more than these are never taken for a single one. */
const MAX_VERSIONS = 16;

interface PoolHistory {
  /** Since when the versions have been known without a gap. */
  readonly since: Millis;
  /** When they were last recorded. */
  readonly recordedAt: Millis;
  /** When each version was last listed; the empty name stands for unknown versions. */
  readonly lastListedAt: Map<string, Millis>;
}

/**
 * Which software versions the engines of each pool have had lately.
 *
 * While a pool has had a single version for as long as callers take streams up again, that version has begun
 * every one of them, and no host has to be asked. What was listed in a time without records isn't known, so that
 * the wait begins again after it.
 */
export class VersionHistory {
  private readonly windowMs: Millis;

  private readonly maxGapMs: Millis;

  private readonly pools = new Map<ModelId, PoolHistory>();

  /**
   * @param windowMs - Milliseconds after its end in which a stream may be taken up.
   * @param maxGapMs - Milliseconds between two records for which the earlier one holds.
   */
  constructor(windowMs: Millis, maxGapMs: Millis) {
    this.windowMs = windowMs;
    this.maxGapMs = maxGapMs;
  }

  /**
   * Records the engines of a pool that are listed now, by a list that is known to be current.
   *
   * @param model - The pool.
   * @param versions - Versions of its engines, also of those that are leaving.
   * @param now - Present time.
   */
  record(model: ModelId, versions: readonly SoftwareVersion[], now: Millis): void {
    const pool = this.poolOf(model, now);
    const since = this.isGap(pool, now) ? now : pool.since;
    this.pools.set(model, { ...pool, since, recordedAt: now });
    const { lastListedAt } = pool;
    versions.forEach((version) => lastListedAt.set(nameOf(version), now));
    [...lastListedAt]
      .filter(([, at]) => now - at > this.windowMs)
      .forEach(([name]) => lastListedAt.delete(name));
    const excess = [...lastListedAt.keys()].slice(0, Math.max(0, lastListedAt.size - MAX_VERSIONS));
    excess.forEach((name) => lastListedAt.delete(name));
  }

  /** Forgets since when the versions are known; for a time that the clock did not count. */
  restart(now: Millis): void {
    this.pools.forEach((pool, model) => this.pools.set(model, { ...pool, since: now }));
  }

  /** Forgets pools that are not configured any more. */
  retain(models: ReadonlySet<ModelId>): void {
    [...this.pools.keys()]
      .filter((model) => !models.has(model))
      .forEach((model) => this.pools.delete(model));
  }

  /**
   * Tells whether no other version of a pool was listed within the window.
   *
   * @param model - The pool.
   * @param version - Name of the version.
   */
  hasNoOther(model: ModelId, version: string): boolean {
    const listed = [...(this.pools.get(model)?.lastListedAt.keys() ?? [])];
    return listed.every((name) => name === version);
  }

  /** Gets for how long the versions of a pool have been known without a gap, in milliseconds; 0 for an unknown pool. */
  getKnownMs(model: ModelId, now: Millis): Millis {
    const pool = this.pools.get(model);
    return pool === undefined || this.isGap(pool, now) ? 0 : now - pool.since;
  }

  /** Counts the versions of a pool that were listed within the window. */
  countVersions(model: ModelId): number {
    return this.pools.get(model)?.lastListedAt.size ?? 0;
  }

  /**
   * Gets the only version that can have begun a stream which is taken up now.
   *
   * @param model - The pool.
   * @param now - Present time.
   * @returns Its name; undefined where there were several or unknown ones, or this host has not known the pool for long.
   */
  getSoleVersion(model: ModelId, now: Millis): string | undefined {
    const pool = this.pools.get(model);
    if (pool === undefined || this.getKnownMs(model, now) < this.windowMs) return undefined;
    const [name, ...others] = pool.lastListedAt.keys();
    return others.length > 0 || name === '' ? undefined : name;
  }

  private isGap({ recordedAt }: PoolHistory, now: Millis): boolean {
    return now - recordedAt > this.maxGapMs;
  }

  private poolOf(model: ModelId, now: Millis): PoolHistory {
    const known = this.pools.get(model);
    if (known !== undefined) return known;
    const pool: PoolHistory = { since: now, recordedAt: now, lastListedAt: new Map() };
    this.pools.set(model, pool);
    return pool;
  }
}

function nameOf(version: SoftwareVersion): string {
  return version.type === 'known' ? version.name : '';
}
