import { performance } from 'node:perf_hooks';
import type { Millis } from './Clock.ts';

/** Milliseconds of lag below which what is read counts as just arrived. */
const FRESH_MS: Millis = 50;

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
 * Bounds for how long what is read now has waited in the operating system, which does not tell.
 *
 * Whatever arrives while the event loop is busy, or while the process gets no processor, waits until the loop comes
 * round, and a new connection until all before it are accepted.
 */
export class ReadLag {
  private readonly times: ProcessTimes;

  private measuredAt: Millis;

  private idleMs: Millis;

  /** Longest wait of what was read at the last measurement. */
  private lagMs: Millis = 0;

  /** When the next tick is due; a process that gets no processor misses it. */
  private tickDueAt: Millis = Infinity;

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
    this.tickDueAt = this.times.now() + periodMs;
  }

  /** Records that all that had arrived has been read. */
  recordCaughtUp(): void {
    this.update();
    this.lagMs = 0;
  }

  /** Gets the longest time that what is read now may have waited; 0 where the event loop is on time. */
  getLagMs(): Millis {
    this.update();
    return this.lagMs < FRESH_MS ? 0 : this.lagMs;
  }

  private update(): void {
    const now = this.times.now();
    const idleMs = this.times.idle();
    const elapsedMs = now - this.measuredAt;
    const idledMs = idleMs - this.idleMs;
    // The loop was last idle at some time since the last measurement, in the worst case right after it.
    const sinceIdleMs = idledMs > 0 ? Math.max(0, elapsedMs - idledMs) : this.lagMs + elapsedMs;
    this.lagMs = Math.max(sinceIdleMs, now - this.tickDueAt);
    this.measuredAt = now;
    this.idleMs = idleMs;
  }
}
