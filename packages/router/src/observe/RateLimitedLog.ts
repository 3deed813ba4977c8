import type { Clock, Millis } from '@camphorvane/core';
import type { LogFields } from './LogFields.ts';

/** Destination of log lines. */
export interface LineSink {
  /** Writes a line without blocking. */
  write(fields: object): void;
}

/**
 * Limit on the lines of one kind per second. A host serves about 100 requests/s at peak; lines beyond
 * the limit add no information, and would take CPU time from requests.
 */
const MAX_LINES_PER_SECOND = 150;

const WINDOW_MS: Millis = 1_000;

interface Window {
  readonly startedAt: Millis;
  readonly written: number;
  readonly dropped: number;
}

/** Limits the rate of each kind of log line, and reports how many lines were dropped. */
export class RateLimitedLog {
  private readonly clock: Clock;

  private readonly sink: LineSink;

  private readonly windows = new Map<string, Window>();

  /**
   * @param clock - Clock of the rate limit and of timestamps.
   * @param sink - Destination of the lines.
   */
  constructor(clock: Clock, sink: LineSink) {
    this.clock = clock;
    this.sink = sink;
  }

  /**
   * Writes a line, or counts it as dropped if the limit of its kind is reached.
   *
   * @param part - Component that logs.
   * @param event - Name of the event.
   * @param fields - Fields of the event.
   */
  write(part: string, event: string, fields: LogFields): void {
    const kind = `${part}.${event}`;
    const now = this.clock.now();
    const window = this.currentWindow(kind, now);
    if (window.written >= MAX_LINES_PER_SECOND) {
      this.windows.set(kind, { ...window, dropped: window.dropped + 1 });
      return;
    }
    this.windows.set(kind, { ...window, written: window.written + 1 });
    this.sink.write({ t: Math.round(this.clock.wall()), part, event, ...fields });
  }

  private currentWindow(kind: string, now: Millis): Window {
    const window = this.windows.get(kind);
    if (window !== undefined && now - window.startedAt < WINDOW_MS) return window;
    if (window !== undefined && window.dropped > 0) {
      this.sink.write({
        t: Math.round(this.clock.wall()),
        event: 'left_out',
        kind,
        lines: window.dropped,
      });
    }
    return { startedAt: now, written: 0, dropped: 0 };
  }
}
