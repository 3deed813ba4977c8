import type { Millis } from '@camphorvane/core';

/** How a stream came to its caller, in milliseconds. */
export interface StreamTimes {
  /** From the arrival of the request to its first event; undefined before that. */
  readonly firstMs: Millis | undefined;
  /** Longest time between two events. */
  readonly longestPauseMs: Millis;
  readonly events: number;
}

/** Measures when the events of one stream are passed on. */
export class StreamPace {
  private readonly startedAt: Millis;

  private firstAt: Millis | undefined;

  private lastAt: Millis = 0;

  private longestPauseMs: Millis = 0;

  private events = 0;

  /** @param startedAt - Time at which the request arrived. */
  constructor(startedAt: Millis) {
    this.startedAt = startedAt;
  }

  /** Notes that an event is passed on. */
  note(now: Millis): void {
    if (this.firstAt === undefined) this.firstAt = now;
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastAt);
    this.lastAt = now;
    this.events += 1;
  }

  /** Gets what was measured so far. */
  get(): StreamTimes {
    const { firstAt, startedAt, longestPauseMs, events } = this;
    const firstMs = firstAt === undefined ? undefined : firstAt - startedAt;
    return { firstMs, longestPauseMs, events };
  }
}
