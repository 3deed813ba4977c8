import type { Millis } from '@camphorvane/core';

/**
 * Length of an interval, in milliseconds: short against the waits that callers accept (a third of seconds),
 * long against the time between two turns of a queue.
 */
const INTERVAL_MS: Millis = 100;

/** Units below which an amount counts as none; sums of fractions are not exact. */
const EPSILON = 1e-9;

/** The capacity of which a turn takes its part. */
export interface TurnDemand {
  /** Lower goes first. */
  readonly priority: number;
  readonly units: number;
  /** Time before which the turn gets no capacity. */
  readonly from: Millis;
  /** Units of capacity per millisecond. */
  readonly drainPerMs: number;
  /** Gets the largest fraction of each interval that a priority and all less urgent ones may take. */
  readonly shareOf: (priority: number) => number;
  /** Time after which the turn is of no use to its caller. */
  readonly limitAt: Millis;
}

/** A part of the capacity of one interval. */
interface IntervalPart {
  readonly interval: number;
  readonly units: number;
}

/** Capacity found for a turn. */
export interface TurnPlace {
  /** Time at which all of the capacity is there. */
  readonly at: Millis;
  readonly parts: readonly IntervalPart[];
}

/** Capacity of an interval that is taken. */
interface TakenUnits {
  readonly total: number;
  readonly byPriority: ReadonlyMap<number, number>;
}

const NOTHING_TAKEN: TakenUnits = { total: 0, byPriority: new Map() };

/** Books the future capacity of a queue in short intervals, so that none is given away twice. */
export class TurnIntervals {
  private readonly taken = new Map<number, TakenUnits>();

  /** Latest interval with a booking. */
  private lastInterval = -Infinity;

  /**
   * Finds the earliest free capacity, over several intervals where one does not hold it.
   *
   * @param demand - The capacity that is needed.
   * @returns Where it is free; beyond its limit only the time is exact.
   */
  find(demand: TurnDemand): TurnPlace {
    const { drainPerMs, priority, shareOf, from, limitAt } = demand;
    const parts: IntervalPart[] = [];
    let { units } = demand;
    let interval = intervalOf(from);
    let at = from;
    const lastInterval = Math.max(this.lastInterval, intervalOf(limitAt));
    while (units > EPSILON && interval <= lastInterval) {
      const taken = Math.min(units, this.freeUnits(demand, interval));
      if (taken > EPSILON) {
        parts.push({ interval, units: taken });
        units -= taken;
        const startAt = Math.max(from, interval * INTERVAL_MS);
        const endAt = interval * INTERVAL_MS + (this.takenIn(interval).total + taken) / drainPerMs;
        at = Math.max(endAt, startAt + taken / drainPerMs);
      }
      interval += 1;
    }
    if (units <= EPSILON) return { at, parts };
    const restAt = Math.max(from, interval * INTERVAL_MS);
    return { at: restAt + units / (drainPerMs * shareOf(priority)), parts };
  }

  /** Takes the capacity of a place. */
  book({ parts }: TurnPlace, priority: number): void {
    parts.forEach(({ interval, units }) => {
      const { total, byPriority } = this.takenIn(interval);
      const own = (byPriority.get(priority) ?? 0) + units;
      const updated = new Map(byPriority).set(priority, own);
      this.taken.set(interval, { total: total + units, byPriority: updated });
      this.lastInterval = Math.max(this.lastInterval, interval);
    });
  }

  /** Forgets the intervals that have passed. */
  prune(now: Millis): void {
    const current = intervalOf(now);
    [...this.taken.keys()]
      .filter((interval) => interval < current)
      .forEach((interval) => this.taken.delete(interval));
  }

  private freeUnits({ priority, from, drainPerMs, shareOf }: TurnDemand, interval: number): number {
    const { total, byPriority } = this.takenIn(interval);
    const capacity = drainPerMs * INTERVAL_MS;
    const endAt = (interval + 1) * INTERVAL_MS;
    const remaining = drainPerMs * Math.min(INTERVAL_MS, endAt - from);
    const free = Math.min(remaining, capacity - total);
    if (free <= EPSILON) return 0;
    // Each more urgent priority bounds this one, too, which would otherwise find room where they find none.
    const withinShares = [...new Set(byPriority.keys()).add(priority)]
      .filter((one) => one <= priority)
      .map((one) => capacity * shareOf(one) - sumFrom(byPriority, one));
    return Math.max(0, Math.min(free, ...withinShares));
  }

  private takenIn(interval: number): TakenUnits {
    return this.taken.get(interval) ?? NOTHING_TAKEN;
  }
}

/** Sums up what is taken by a priority and all less urgent ones. */
function sumFrom(byPriority: ReadonlyMap<number, number>, priority: number): number {
  return [...byPriority]
    .filter(([one]) => one >= priority)
    .reduce((sum, [, units]) => sum + units, 0);
}

function intervalOf(at: Millis): number {
  return Math.floor(at / INTERVAL_MS);
}
