import { performance } from 'node:perf_hooks';
import type { Millis } from './Clock.ts';

/** Milliseconds without a look at what has arrived, below which it counts as just arrived. */
const FRESH_MS: Millis = 50;

/** Part of the time since the last look that has passed, on average, since something arrived. */
const MEAN_WAIT = 0.5;

/** The times of the process that a {@link ReadLag} reads. */
export interface ProcessTimes {
  /** Gets the monotonic time. */
  now(): Millis;
  /** Gets for how long the event loop has waited for events so far; it waits only while nothing is left to be read. */
  idle(): Millis;
}

const PROCESS_TIMES: ProcessTimes = {
  now: () => performance.now(),
  idle: () => performance.nodeTiming.idleTime,
};

/**
 * Estimates for how long what is read now has waited in the operating system, which does not tell.
 *
 * Whatever arrives while the event loop is busy, or while the process gets no processor, waits until the loop comes
 * round, and a new connection until all before it are accepted.
 */
export class ReadLag {
  private readonly times: ProcessTimes;

  private measuredAt: Millis;

  private idleMs: Millis;

  /** Longest wait of what was read at the last measurement. */
  private longestMs: Millis = 0;

  /** When the next tick is due; a process that gets no processor misses it. */
  private tickDueAt: Millis = Infinity;

  /** When the last tick was. */
  private tickedAt: Millis = -Infinity;

  /** @param times - Times of the process. */
  constructor(times: ProcessTimes = PROCESS_TIMES) {
    this.times = times;
    this.measuredAt = times.now();
    this.idleMs = times.idle();
  }

  /**
   * Records that a periodic timer has fired.
   *
   * @param periodMs - Milliseconds until it is due again.
   */
  recordTick(periodMs: Millis): void {
    this.update();
    const now = this.times.now();
    // Timers fire behind a poll, which has read what had arrived at the tick before.
    this.longestMs = Math.min(this.longestMs, now - this.tickedAt);
    this.tickedAt = now;
    this.tickDueAt = now + periodMs;
  }

  /** Records that all that had arrived has been read. */
  recordCaughtUp(): void {
    this.update();
    this.longestMs = 0;
  }

  /** Gets for how long what is read now has waited, on average; 0 where the event loop is on time. */
  getLagMs(): Millis {
    this.update();
    return this.longestMs < FRESH_MS ? 0 : this.longestMs * MEAN_WAIT;
  }

  private update(): void {
    const now = this.times.now();
    const idleMs = this.times.idle();
    const elapsedMs = now - this.measuredAt;
    const idledMs = idleMs - this.idleMs;
    // The loop was last idle at some time since the last measurement, in the worst case right after it.
    const sinceIdleMs = idledMs > 0 ? Math.max(0, elapsedMs - idledMs) : this.longestMs + elapsedMs;
    this.longestMs = Math.max(sinceIdleMs, now - this.tickDueAt);
    this.measuredAt = now;
    this.idleMs = idleMs;
  }
}
