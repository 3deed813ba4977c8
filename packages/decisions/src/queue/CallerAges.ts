import type { Millis } from '@camphorvane/core';

/**
 * Part of the longest patience below which a caller is taken for one that comes back. Callers of a route
 * differ in how long they wait, and one that was refused before has lost some seconds.
 */
const RETURNED_PART = 0.8;

/** Milliseconds for which the longest patience counts at least, and at most twice as long. */
const MEMORY_MS: Millis = 30_000;

interface LongestPatience {
  readonly since: Millis;
  readonly now: Millis;
  /** In the span before. */
  readonly before: Millis;
}

/**
 * Estimates how long ago a caller first asked, by the time that it says it will still wait.
 *
 * Made for overload: a caller that was refused comes back as a new request. Taken for one, it would wait
 * before others that can still be on time, although its own answer is late whatever is done.
 */
export class CallerAges {
  private readonly longest = new Map<string, LongestPatience>();

  /**
   * Gets the age of a request, and learns from it.
   *
   * @param route - The route; callers of one are compared with each other.
   * @param patienceMs - Milliseconds that the caller will wait from now on.
   * @param now - Present time.
   * @returns Milliseconds since the caller first asked; 0 for one that seems to ask first.
   */
  note(route: string, patienceMs: Millis, now: Millis): Millis {
    const known = this.spanAt(route, now);
    const span = { ...known, now: Math.max(known.now, patienceMs) };
    this.longest.set(route, span);
    const longest = Math.max(span.now, span.before);
    return patienceMs < longest * RETURNED_PART ? longest - patienceMs : 0;
  }

  private spanAt(route: string, now: Millis): LongestPatience {
    const known = this.longest.get(route);
    if (known === undefined) return { since: now, now: 0, before: 0 };
    if (now - known.since < MEMORY_MS) return known;
    const isNext = now - known.since < 2 * MEMORY_MS;
    return { since: now, now: 0, before: isNext ? known.now : 0 };
  }
}
