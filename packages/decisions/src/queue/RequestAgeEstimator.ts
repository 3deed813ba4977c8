import type { Millis } from '@camphorvane/core';

/**
 * Fraction of the longest time left below which a request counts as a retry. Callers of a route differ in
 * their timeouts, and a caller that was refused before has lost some seconds.
 */
export const RETRY_THRESHOLD = 0.8;

/** Window of the longest time left, in milliseconds; each value counts for one to two windows. */
const WINDOW_MS: Millis = 30_000;

interface TimeLeftWindow {
  readonly startedAt: Millis;
  readonly longestMs: Millis;
  /** Longest time left in the window before. */
  readonly previousLongestMs: Millis;
}

/**
 * Estimates how long ago a caller first sent its request, from the time that it will still wait.
 *
 * Under overload a refused caller comes back with what looks like a new request. Treated as one, it would
 * be queued before requests that can still be on time, although its own answer is late in any case.
 */
export class RequestAgeEstimator {
  private readonly windows = new Map<string, TimeLeftWindow>();

  /**
   * Estimates the age of a request, and records its time left.
   *
   * @param route - The route; only requests of the same route are compared.
   * @param leftMs - Milliseconds that the caller will still wait.
   * @param now - Present time.
   * @returns Milliseconds since the caller first sent the request; 0 for an apparent first attempt.
   */
  estimate(route: string, leftMs: Millis, now: Millis): Millis {
    const current = this.windowAt(route, now);
    const updated = { ...current, longestMs: Math.max(current.longestMs, leftMs) };
    this.windows.set(route, updated);
    const longestMs = Math.max(updated.longestMs, updated.previousLongestMs);
    return leftMs < longestMs * RETRY_THRESHOLD ? longestMs - leftMs : 0;
  }

  private windowAt(route: string, now: Millis): TimeLeftWindow {
    const known = this.windows.get(route);
    if (known === undefined) return { startedAt: now, longestMs: 0, previousLongestMs: 0 };
    if (now - known.startedAt < WINDOW_MS) return known;
    const isNext = now - known.startedAt < 2 * WINDOW_MS;
    return { startedAt: now, longestMs: 0, previousLongestMs: isNext ? known.longestMs : 0 };
  }
}
