import type { Millis } from '@camphorvane/core';

/** Latency of a stream as its caller sees it. */
export interface StreamTimings {
  /** Milliseconds from the arrival of the request to the first event; undefined before that event. */
  readonly firstMs: Millis | undefined;
  /** Longest time between two events, in milliseconds. */
  readonly longestPauseMs: Millis;
  readonly events: number;
}

/** Measures the latency of one stream's events. */
export class StreamTimer {
  private readonly startedAt: Millis;

  private firstAt: Millis | undefined;

  private lastAt: Millis = 0;

  private longestPauseMs: Millis = 0;

  private events = 0;

  /** @param startedAt - Time at which the request arrived. */
  constructor(startedAt: Millis) {
    this.startedAt = startedAt;
  }

  /** Records that an event is sent to the caller. */
  recordEvent(now: Millis): void {
    if (this.firstAt === undefined) this.firstAt = now;
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastAt);
    this.lastAt = now;
    this.events += 1;
  }

  /** Gets the latencies measured so far. */
  getTimings(): StreamTimings {
    const { firstAt, startedAt, longestPauseMs, events } = this;
    const firstMs = firstAt === undefined ? undefined : firstAt - startedAt;
    return { firstMs, longestPauseMs, events };
  }
}
