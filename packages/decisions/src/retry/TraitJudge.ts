import type { Millis, UpstreamId } from '@camphorvane/core';
import type { CrashRecords } from './CrashRecords.ts';
import type { CrashSuspectsOptions } from './CrashSuspectsOptions.ts';
import { countRelapses, isSuspected, judgeTrait } from './judgeTraits.ts';
import type { CrashVerdict, TraitRecord } from './judgeTraits.ts';
import { isSharedDigest } from './sharedDigest.ts';

/** Distinct upstreams that must have crashed more for a trait that requests share than for a whole request. */
const MORE_SHARED_UPSTREAMS = 1;

/**
 * Milliseconds after its last crash until a shared trait is tried, by the number of its relapses; after more it is the
 * length of a block. Crashes are stored and told to peers, so that the next process of a host waits as long.
 */
const SHARED_BLOCKS_MS: readonly Millis[] = [10_000, 60_000];

/** Traits of the requests that ran on an upstream when it crashed, without those of the request that is judged. */
export interface OtherTraits {
  /** Gets those that are suspected. */
  readonly suspectsAt: (upstream: UpstreamId) => readonly TraitRecord[];
  /** Gets those that different requests may have. */
  readonly sharedAt: (upstream: UpstreamId) => readonly TraitRecord[];
}

/** A suspected trait of a request. */
export interface JudgedTrait {
  readonly key: string;
  readonly record: TraitRecord;
  readonly verdict: CrashVerdict;
  /** Milliseconds after its last crash for which requests with it are blocked. */
  readonly blockMs: Millis;
}

/** Judges requests by the crashes of their traits. */
export class TraitJudge {
  /**
   * @param records - What is known of all traits.
   * @param opts - Limits.
   */
  constructor(
    private readonly records: CrashRecords,
    private readonly opts: CrashSuspectsOptions,
  ) {}

  /**
   * Judges a request by its suspected traits.
   *
   * @param keys - All its traits.
   * @param now - Present time.
   * @param minAgeMs - Milliseconds since a crash from which on it counts.
   * @returns Those that are suspected, the innocent ones included.
   */
  judge(keys: readonly string[], now: Millis, minAgeMs: Millis): readonly JudgedTrait[] {
    const suspected = keys
      .filter((key) => this.records.isRepeated(key) || this.minCrashes(key) === 1)
      .map((key) => ({ key, record: this.records.getTrait(key, now, minAgeMs) }))
      .filter(({ key, record }) => isSuspected(record, this.minCrashes(key)));
    if (suspected.length === 0) return [];
    const { suspectsAt, sharedAt } = this.othersThan(keys, now);
    const { certainCrashes } = this.opts;
    return suspected.map(({ key, record }) => {
      const minCrashes = this.minCrashes(key);
      const thresholds = { minCrashes, certainCrashes };
      const verdict = judgeTrait(record, thresholds, suspectsAt, sharedAt);
      const blockMs = this.blockMsOf(record, minCrashes, verdict, sharedAt);
      return { key, record, verdict, blockMs };
    });
  }

  /** Gets, by upstream, the traits but the given ones that requests had which ran there when it crashed. */
  othersThan(keys: readonly string[], now: Millis): OtherTraits {
    const recordOf = memoize((key: string) => this.records.getTrait(key, now));
    const othersAt = (upstream: UpstreamId): readonly string[] =>
      [...this.records.getTraitsAt(upstream)].filter((key) => !keys.includes(key));
    return {
      suspectsAt: memoize((upstream) =>
        othersAt(upstream)
          .filter((key) => this.records.isRepeated(key))
          .filter((key) => isSuspected(recordOf(key), this.minCrashes(key)))
          .map(recordOf),
      ),
      sharedAt: memoize((upstream) => othersAt(upstream).filter(isSharedDigest).map(recordOf)),
    };
  }

  /** Gets how long a trait is blocked after its last crash; a shared one is tried again soon, since it may be blocked wrongly. */
  private blockMsOf(
    record: TraitRecord,
    minCrashes: number,
    verdict: CrashVerdict,
    sharedAt: OtherTraits['sharedAt'],
  ): Millis {
    const { blockMs } = this.opts;
    if (!record.isShared) return blockMs;
    const relapses = countRelapses(record, minCrashes, sharedAt);
    const isBlocked = verdict === 'certain' || (verdict === 'unresolved' && relapses > 0);
    return isBlocked ? Math.min(SHARED_BLOCKS_MS[relapses] ?? blockMs, blockMs) : 0;
  }

  private minCrashes(key: string): number {
    const { minUpstreams } = this.opts;
    return isSharedDigest(key) ? minUpstreams + MORE_SHARED_UPSTREAMS : minUpstreams;
  }
}

function memoize<Key, T>(get: (key: Key) => T): (key: Key) => T {
  const known = new Map<Key, T>();
  return (key) => {
    const value = known.get(key) ?? get(key);
    known.set(key, value);
    return value;
  };
}
