import type { Millis, ModelId, SoftwareVersion } from '@camphorvane/core';

/** Most versions that are remembered for a pool; more than these are never taken for a single one. */
const MAX_VERSIONS = 16;

interface PoolHistory {
  readonly since: Millis;
  /** When each version was last listed; the empty name stands for unknown versions. */
  readonly lastListedAt: Map<string, Millis>;
}

/**
 * Which software versions the engines of each pool have had lately.
 *
 * While a pool has had a single version for as long as callers take streams up again, that version has begun
 * every one of them, and no host has to be asked.
 */
export class VersionHistory {
  private readonly windowMs: Millis;

  private readonly pools = new Map<ModelId, PoolHistory>();

  /** @param windowMs - Milliseconds after its end in which a stream may be taken up. */
  constructor(windowMs: Millis) {
    this.windowMs = windowMs;
  }

  /**
   * Records the engines of a pool that are listed now.
   *
   * @param model - The pool.
   * @param versions - Versions of its engines; those of pools without versions are absent.
   * @param now - Present time.
   */
  record(model: ModelId, versions: readonly (SoftwareVersion | undefined)[], now: Millis): void {
    const { lastListedAt } = this.poolOf(model, now);
    versions.forEach((version) => {
      if (version !== undefined) lastListedAt.set(nameOf(version), now);
    });
    [...lastListedAt]
      .filter(([, at]) => now - at > this.windowMs)
      .forEach(([name]) => lastListedAt.delete(name));
    const excess = [...lastListedAt.keys()].slice(0, Math.max(0, lastListedAt.size - MAX_VERSIONS));
    excess.forEach((name) => lastListedAt.delete(name));
  }

  /** Forgets pools that are not configured any more. */
  retain(models: ReadonlySet<ModelId>): void {
    [...this.pools.keys()]
      .filter((model) => !models.has(model))
      .forEach((model) => this.pools.delete(model));
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
    if (pool === undefined || now - pool.since < this.windowMs) return undefined;
    const [name, ...others] = pool.lastListedAt.keys();
    return others.length > 0 || name === '' ? undefined : name;
  }

  private poolOf(model: ModelId, now: Millis): PoolHistory {
    const known = this.pools.get(model);
    if (known !== undefined) return known;
    const pool: PoolHistory = { since: now, lastListedAt: new Map() };
    this.pools.set(model, pool);
    return pool;
  }
}

function nameOf(version: SoftwareVersion): string {
  return version.type === 'known' ? version.name : '';
}
