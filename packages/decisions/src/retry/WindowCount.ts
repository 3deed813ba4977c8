import type { Millis } from '@camphorvane/core';

/** Parts that a window is counted in; an event counts for up to one part longer than the window. */
const PARTS = 40;

/** Counts events of the last so many milliseconds, in as little memory however many there are. */
export class WindowCount {
  private readonly partMs: Millis;

  private readonly parts = new Map<number, number>();

  /** @param windowMs - Length of the window. */
  constructor(windowMs: Millis) {
    this.partMs = windowMs / PARTS;
  }

  /** Counts one event. */
  add(now: Millis): void {
    const part = this.partOf(now);
    this.forget(part);
    this.parts.set(part, (this.parts.get(part) ?? 0) + 1);
  }

  /** Gets how many there were. */
  count(now: Millis): number {
    this.forget(this.partOf(now));
    return [...this.parts.values()].reduce((sum, count) => sum + count, 0);
  }

  private partOf(now: Millis): number {
    return Math.floor(now / this.partMs);
  }

  private forget(current: number): void {
    [...this.parts.keys()]
      .filter((part) => part < current - PARTS)
      .forEach((part) => this.parts.delete(part));
  }
}
