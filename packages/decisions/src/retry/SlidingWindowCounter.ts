import type { Millis } from '@camphorvane/core';

/** Slots of a window; an event counts for up to one slot longer than the window. */
const SLOTS_PER_WINDOW = 40;

/** Counts events in a sliding time window, in memory that does not grow with their number. */
export class SlidingWindowCounter {
  private readonly slotMs: Millis;

  private readonly slots = new Map<number, number>();

  /** @param windowMs - Length of the window in milliseconds. */
  constructor(windowMs: Millis) {
    this.slotMs = windowMs / SLOTS_PER_WINDOW;
  }

  /** Counts one event. */
  add(now: Millis): void {
    const slot = this.slotOf(now);
    this.expire(slot);
    this.slots.set(slot, (this.slots.get(slot) ?? 0) + 1);
  }

  /** Gets the number of events in the window that ends now. */
  count(now: Millis): number {
    this.expire(this.slotOf(now));
    return [...this.slots.values()].reduce((sum, count) => sum + count, 0);
  }

  private slotOf(now: Millis): number {
    return Math.floor(now / this.slotMs);
  }

  private expire(current: number): void {
    [...this.slots.keys()]
      .filter((slot) => slot < current - SLOTS_PER_WINDOW)
      .forEach((slot) => this.slots.delete(slot));
  }
}
