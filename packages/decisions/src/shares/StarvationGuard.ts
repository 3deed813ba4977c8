import type { Millis } from '@camphorvane/core';
import type { OrderedEntry } from './QueueOrder.ts';

/** What the guard needs to know of a waiting request. */
export type GuardedEntry = Pick<OrderedEntry, 'priority' | 'lateAt'>;

/** A priority that was passed over too often. */
export interface StarvedPriority {
  readonly priority: number;
  /** Whether it may go ahead of requests of other priorities that are on time. */
  readonly mayOvertake: boolean;
}

/** Placements of other priorities after which the next one goes to a priority that had none: every tenth. */
const MAX_PASSED_OVER = 9;

/** Weight of the newest interval in the mean interval between placements; about the last ten count. */
const INTERVAL_WEIGHT = 0.1;

/**
 * Finds priorities that wait while placements go to others.
 *
 * A priority that was passed over by nine placements gets the next one, unless a request of another
 * priority that is on time would become late by it.
 */
export class StarvationGuard {
  /** Placements of other priorities while a priority waited, since its own last placement. */
  private readonly passedOver = new Map<number, number>();

  /** Mean milliseconds between two placements while requests wait; undefined before the second one. */
  private intervalMs: Millis | undefined;

  private lastPlacedAt: Millis | undefined;

  /**
   * Records a placement.
   *
   * @param priority - Priority of the placed request.
   * @param waiting - Priorities of the requests that still wait.
   * @param now - Present time.
   */
  recordPlaced(priority: number, waiting: Iterable<number>, now: Millis): void {
    const others = [...waiting];
    others.forEach((other) => this.passedOver.set(other, (this.passedOver.get(other) ?? 0) + 1));
    this.passedOver.delete(priority);
    if (this.lastPlacedAt !== undefined) {
      const gapMs = now - this.lastPlacedAt;
      const meanMs = this.intervalMs ?? gapMs;
      this.intervalMs = meanMs + (gapMs - meanMs) * INTERVAL_WEIGHT;
    }
    // Without waiting requests, the time to the next placement says nothing about the capacity.
    this.lastPlacedAt = others.length > 0 ? now : undefined;
  }

  /**
   * Gets the priority that the next placement goes to whatever the order of priorities is.
   *
   * @param waiting - Gets the waiting requests.
   * @param now - Present time.
   * @returns The priority; undefined where none is starved.
   */
  findStarved(waiting: () => readonly GuardedEntry[], now: Millis): StarvedPriority | undefined {
    const candidates = [...this.passedOver].filter(([, count]) => count >= MAX_PASSED_OVER);
    if (candidates.length === 0) return undefined;
    const entries = waiting();
    const present = new Set(entries.map(({ priority }) => priority));
    const [starved] = candidates
      .filter(([priority]) => present.has(priority))
      .sort(([a, countA], [b, countB]) => countB - countA || b - a);
    if (starved === undefined) return undefined;
    const [priority] = starved;
    return { priority, mayOvertake: !this.wouldMakeLate(priority, entries, now) };
  }

  /** Tells whether a request of another priority is on time only if it waits for no further placement. */
  private wouldMakeLate(starved: number, entries: readonly GuardedEntry[], now: Millis): boolean {
    const { intervalMs = Infinity } = this;
    return entries
      .filter(({ priority, lateAt }) => priority !== starved && lateAt > now)
      .sort((a, b) => a.priority - b.priority || compareTimes(a.lateAt, b.lateAt))
      .some(({ lateAt }, position) => {
        const startAt = position === 0 ? now : now + position * intervalMs;
        return startAt < lateAt && lateAt <= startAt + intervalMs && lateAt < Infinity;
      });
  }
}

/** Compares two times of which both may be infinite. */
function compareTimes(a: Millis, b: Millis): number {
  return a === b ? 0 : a - b;
}
