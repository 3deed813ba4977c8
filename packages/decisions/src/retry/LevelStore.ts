import type { Millis } from '@camphorvane/core';

const MS_PER_SECOND = 1000;

/** Names looked at for removal whenever one is added. */
const SWEPT_AT_ONCE = 2;

interface Level {
  readonly value: number;
  readonly at: Millis;
}

/** Levels by name that fill with time up to a bound; names whose level is full take no memory. */
export class LevelStore<Name> {
  private readonly levels = new Map<Name, Level>();

  constructor(private readonly opts: { readonly perSecond: number; readonly most: number }) {}

  /** Gets how many names have a level that was below the bound when it was last looked at. */
  get size(): number {
    return this.levels.size;
  }

  /** Gets the present level of a name. */
  get(name: Name, now: Millis): number {
    const { most, perSecond } = this.opts;
    const level = this.levels.get(name);
    if (level === undefined) return most;
    return Math.min(most, level.value + ((now - level.at) * perSecond) / MS_PER_SECOND);
  }

  /** Changes the level of a name. */
  add(name: Name, change: number, now: Millis): void {
    const value = this.get(name, now) + change;
    this.levels.delete(name);
    if (value < this.opts.most) this.levels.set(name, { value, at: now });
    this.sweep(now);
  }

  /** Drops the names touched longest ago once their level is full. */
  private sweep(now: Millis): void {
    const oldest = this.levels.keys();
    const names = Array.from({ length: SWEPT_AT_ONCE }, () => oldest.next());
    names.forEach((name) => {
      if (!name.done && this.get(name.value, now) >= this.opts.most) this.levels.delete(name.value);
    });
  }
}
