import type { Millis } from '@camphorvane/core';
import type { OrderedEntry } from './QueueOrder.ts';

/** What the guard needs to know of a waiting request. */
export type GuardedEntry = Pick<OrderedEntry, 'priority' | 'lateAt'>;

/** How the priorities of a queue fare at present. */
export interface PriorityState {
  /** The priority that was passed over too often; undefined where none was. */
  readonly starved: number | undefined;
  /** Priorities with a request that is on time, but may become late if another one goes ahead of it. */
  readonly endangered: ReadonlySet<number>;
}

/** State of a queue in which requests of one priority wait, so that none can be passed over. */
const NOTHING_AT_RISK: PriorityState = { starved: undefined, endangered: new Set() };

/** Placements of other priorities after which the next one goes to a priority that had none: every tenth. */
const MAX_PASSED_OVER = 9;

/** Weight of the newest interval in the mean interval between placements; about the last ten count. */
const INTERVAL_WEIGHT = 0.1;

/**
 * Factor on the expected wait of a request that must have time to give way. Intervals between placements vary
 * by more than their mean: with a factor of 1, a less urgent priority made 8% of the urgent requests late.
 */
const WAIT_MARGIN = 3;

/** Finds priorities that wait while placements go to others, and those that have no time to give way. */
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
   * @param waiting - Priorities of the requests that still wait, each once.
   * @param now - Present time.
   */
  recordPlaced(priority: number, waiting: ReadonlySet<number>, now: Millis): void {
    waiting.forEach((other) => this.passedOver.set(other, (this.passedOver.get(other) ?? 0) + 1));
    this.passedOver.delete(priority);
    if (this.lastPlacedAt !== undefined) {
      const gapMs = now - this.lastPlacedAt;
      const meanMs = this.intervalMs ?? gapMs;
      this.intervalMs = meanMs + (gapMs - meanMs) * INTERVAL_WEIGHT;
    }
    // Without waiting requests, the time to the next placement says nothing about the capacity.
    this.lastPlacedAt = waiting.size > 0 ? now : undefined;
  }

  /** Gets how the priorities of the waiting requests fare. */
  assess(waiting: Iterable<GuardedEntry>, now: Millis): PriorityState {
    const timesByPriority = new Map<number, Millis[]>();
    const entries = [...waiting];
    entries.forEach(({ priority, lateAt }) => {
      const times = timesByPriority.get(priority);
      if (times === undefined) timesByPriority.set(priority, [lateAt]);
      else times.push(lateAt);
    });
    if (timesByPriority.size < 2) return NOTHING_AT_RISK;
    const [starved] = [...this.passedOver]
      .filter(([priority, count]) => count >= MAX_PASSED_OVER && timesByPriority.has(priority))
      .sort(([a, countA], [b, countB]) => countB - countA || b - a);
    return { starved: starved?.[0], endangered: this.findEndangered(timesByPriority, now) };
  }

  private findEndangered(
    timesByPriority: ReadonlyMap<number, readonly Millis[]>,
    now: Millis,
  ): ReadonlySet<number> {
    const { intervalMs = 0 } = this;
    const endangered = new Set<number>();
    // It waits for those ahead of it, for the one that would go first, and for its own placement.
    let placements = 2;
    [...timesByPriority]
      .sort(([a], [b]) => a - b)
      .forEach(([priority, times]) => {
        // A typed array sorts numbers without a call of a comparison function.
        Float64Array.from(times.filter((lateAt) => lateAt > now && lateAt < Infinity))
          .sort()
          .forEach((lateAt) => {
            if (lateAt <= now + placements * intervalMs * WAIT_MARGIN) endangered.add(priority);
            placements += 1;
          });
      });
    return endangered;
  }
}
