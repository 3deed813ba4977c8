import type { Millis } from '@camphorvane/core';
import { isSharedDigest } from './sharedDigest.ts';

/**
 * Most answered traits that are remembered of each kind, about a megabyte. Whole requests are rarely repeated,
 * and must not displace what many share.
 */
const MAX_ANSWERS = 5_000;

/** Milliseconds by which answers that hosts pass on to each other seem later than they were. */
const TRANSIT_MS: Millis = 1_000;

/** The last complete answer to a request with a trait. */
export interface RecentAnswer {
  readonly at: Millis;
  /** Whether this host received the answer. */
  readonly isOwn: boolean;
}

/** Remembers with which traits requests were answered, the latest ones. */
export class RecentAnswers {
  private readonly ofShared = new Map<string, RecentAnswer>();

  private readonly ofRequests = new Map<string, RecentAnswer>();

  /**
   * Records a complete answer.
   *
   * @returns Whether it is later than the last one known, and not the same one passed on.
   */
  record(key: string, at: Millis, isOwn: boolean): boolean {
    const answers = this.mapOf(key);
    const known = answers.get(key);
    if (known !== undefined && known.at >= at) return false;
    answers.delete(key);
    answers.set(key, { at, isOwn });
    if (answers.size > MAX_ANSWERS) {
      const oldest = answers.keys().next();
      if (!oldest.done) answers.delete(oldest.value);
    }
    return known === undefined || at - known.at > TRANSIT_MS;
  }

  /** Gets the last answer to a request with a trait; undefined where none is remembered. */
  get(key: string): RecentAnswer | undefined {
    return this.mapOf(key).get(key);
  }

  private mapOf(key: string): Map<string, RecentAnswer> {
    return isSharedDigest(key) ? this.ofShared : this.ofRequests;
  }
}
