import { performance } from 'node:perf_hooks';
import type { CancelTimer, Clock, Millis } from './Clock.ts';
import { contain } from './contain.ts';

/** The clock of a running process. */
export class SystemClock implements Clock {
  /** Gets the monotonic time in milliseconds. */
  now(): Millis {
    return performance.now();
  }

  /** Gets the wall time in milliseconds since the Unix epoch. */
  wall(): Millis {
    return Date.now();
  }

  /**
   * Runs a function once after a delay; what it throws ends this timer alone.
   *
   * @param delay - Milliseconds from now.
   * @param run - The function to run.
   * @returns A function that cancels the timer.
   */
  after(delay: Millis, run: () => void): CancelTimer {
    const timer = setTimeout(() => contain('timer', run), Math.max(0, delay));
    return () => clearTimeout(timer);
  }
}
