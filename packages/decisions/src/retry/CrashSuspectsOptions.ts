import type { Millis } from '@camphorvane/core';

/** Limits of a `CrashSuspects`. */
export interface CrashSuspectsOptions {
  /** Distinct upstreams that must have crashed before a request is blocked for its content. */
  readonly minUpstreams: number;
  /** Unexplained crashes from which on a trait that requests share is blocked without a trial. */
  readonly certainCrashes: number;
  /** Milliseconds in which a crash may still be withdrawn, and blocks no new request. */
  readonly confirmMs: Millis;
  /** Milliseconds after its last crash for which a request is blocked. */
  readonly blockMs: Millis;
  /** Milliseconds after which a crash no longer counts. */
  readonly retentionMs: Millis;
  /** Most traits kept. */
  readonly maxDigests: number;
  /** When this process started; what its trials showed before is not known. */
  readonly startedAt: Millis;
}

/**
 * Default limits. One crash may be a coincidence, and each further one costs all streams of an engine.
 * Ten minutes outlast a caller's usual retries, and the block ends once engines have been repaired. Crashes
 * count for longer than that: a request that comes again after its block is blocked by its next crash.
 * The number of traits keeps the memory between 2 MB, with one crash each, and 12 MB, with sixteen.
 */
export const DEFAULT_CRASH_SUSPECTS: CrashSuspectsOptions = {
  minUpstreams: 2,
  certainCrashes: 2,
  confirmMs: 0,
  blockMs: 600_000,
  retentionMs: 3_600_000,
  maxDigests: 5_000,
  startedAt: -Infinity,
};
