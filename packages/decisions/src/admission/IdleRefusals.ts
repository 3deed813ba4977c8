import type { Millis } from '@camphorvane/core';

/** Most refusals that are watched at once; more would not change the correction. */
const MAX_WATCHED = 64;

/** A refusal whose expected wait has not passed yet. */
export interface WatchedRefusal {
  readonly refusedAt: Millis;
  /** Expected wait in milliseconds. */
  readonly waitMs: Millis;
  /** Expected wait without correction, in milliseconds. */
  readonly uncorrectedMs: Millis;
}

/**
 * Finds refusals that were wrong: capacity was free and nothing was queued before the expected wait of the
 * refused request had passed.
 */
export class IdleRefusals {
  private watched: readonly WatchedRefusal[] = [];

  /** Gets whether any refusal is watched. */
  get isWatching(): boolean {
    return this.watched.length > 0;
  }

  /** Watches a refusal. */
  record(refusal: WatchedRefusal): void {
    this.watched = [...this.watched.slice(1 - MAX_WATCHED), refusal];
  }

  /**
   * Records that capacity is free and nothing is queued.
   *
   * @param now - Present time.
   * @returns The watched refusals that were wrong; they are no longer watched.
   */
  takeWrong(now: Millis): readonly WatchedRefusal[] {
    if (this.watched.length === 0) return [];
    const wrong = this.watched.filter(({ refusedAt, waitMs }) => now < refusedAt + waitMs);
    this.watched = [];
    return wrong;
  }
}
