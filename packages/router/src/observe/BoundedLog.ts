import type { Clock, Millis } from '@camphorvane/core';
import type { LogFields } from './LogFields.ts';

/** Where lines go. */
export interface LineSink {
  /** Writes a line without waiting. */
  write(fields: object): void;
}

/**
 * Lines of one kind in a second. A host serves about a hundred requests a second at its peak; more
 * lines than this tell nothing new, and would cost processor time that requests need.
 */
const LINES_PER_SECOND = 150;

const SECOND_MS: Millis = 1_000;

interface Window {
  readonly since: Millis;
  readonly written: number;
  readonly left: number;
}

/** Lets through so many lines of each kind a second, and says how many it left out. */
export class BoundedLog {
  private readonly clock: Clock;

  private readonly sink: LineSink;

  private readonly windows = new Map<string, Window>();

  /**
   * @param clock - Measures seconds.
   * @param sink - Where lines go.
   */
  constructor(clock: Clock, sink: LineSink) {
    this.clock = clock;
    this.sink = sink;
  }

  /**
   * Writes a line, or counts it as left out.
   *
   * @param part - Part of the program.
   * @param event - What happened.
   * @param fields - Its details.
   */
  write(part: string, event: string, fields: LogFields): void {
    const kind = `${part}.${event}`;
    const now = this.clock.now();
    const window = this.windowOf(kind, now);
    if (window.written >= LINES_PER_SECOND) {
      this.windows.set(kind, { ...window, left: window.left + 1 });
      return;
    }
    this.windows.set(kind, { ...window, written: window.written + 1 });
    this.sink.write({ t: Math.round(this.clock.wall()), part, event, ...fields });
  }

  private windowOf(kind: string, now: Millis): Window {
    const window = this.windows.get(kind);
    if (window !== undefined && now - window.since < SECOND_MS) return window;
    if (window !== undefined && window.left > 0) {
      this.sink.write({
        t: Math.round(this.clock.wall()),
        event: 'left_out',
        kind,
        lines: window.left,
      });
    }
    return { since: now, written: 0, left: 0 };
  }
}
