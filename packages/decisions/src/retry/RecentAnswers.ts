import type { Millis } from '@camphorvane/core';

/** Most requests whose successes are remembered, about a megabyte. */
const MAX_ANSWERS = 5_000;

/**
 * Milliseconds after a success in which crashes do not count against the same request. Callers that send the
 * same content, such as a popular lookup, would otherwise be blocked when many upstreams crash at once.
 */
const CLEARED_MS: Millis = 10_000;

/** The last success of a request. */
export interface RecentAnswer {
  readonly at: Millis;
  /** Whether this host received the answer. */
  readonly isOwn: boolean;
}

/** Remembers which requests succeeded lately, by the digest of their content. */
export class RecentAnswers {
  private readonly answers = new Map<string, RecentAnswer>();

  /** Records a success. */
  record(key: string, at: Millis, isOwn: boolean): void {
    const known = this.answers.get(key);
    if (known !== undefined && known.at >= at) return;
    this.answers.delete(key);
    this.answers.set(key, { at, isOwn });
    if (this.answers.size <= MAX_ANSWERS) return;
    const oldest = this.answers.keys().next();
    if (!oldest.done) this.answers.delete(oldest.value);
  }

  /** Gets the last success of a request; undefined where none is remembered. */
  get(key: string): RecentAnswer | undefined {
    return this.answers.get(key);
  }

  /** Gets the time up to which crashes do not count against a request. */
  getClearedUntil(key: string): Millis {
    const answer = this.answers.get(key);
    return answer === undefined ? -Infinity : answer.at + CLEARED_MS;
  }
}
