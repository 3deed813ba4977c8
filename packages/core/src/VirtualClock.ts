import type { CancelTimer, Clock, Millis } from './Clock.ts';

interface Timer {
  readonly id: number;
  readonly at: Millis;
  readonly run: () => void;
}

/** Drains the microtask queue: setImmediate runs after it. */
function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * A clock that is advanced manually, for deterministic tests.
 *
 * Timers fire in order of time, then of creation.
 */
export class VirtualClock implements Clock {
  private time: Millis;

  private readonly wallStart: Millis;

  private nextId = 1;

  private timers: Timer[] = [];

  /**
   * @param start - The first value of `now`, in milliseconds.
   * @param wallStart - The wall time at `now() === 0`, in milliseconds since the Unix epoch.
   */
  constructor(start: Millis = 0, wallStart: Millis = 0) {
    this.time = start;
    this.wallStart = wallStart;
  }

  /** Gets the virtual time in milliseconds. */
  now(): Millis {
    return this.time;
  }

  /** Gets the virtual wall time in milliseconds. */
  wall(): Millis {
    return this.wallStart + this.time;
  }

  /** Gets the number of timers that have not fired. */
  countPendingTimers(): number {
    return this.timers.length;
  }

  /**
   * Runs a function once the clock has been advanced past a delay.
   *
   * @param delay - Milliseconds from now.
   * @param run - The function to run.
   * @returns A function that cancels the timer.
   */
  after(delay: Millis, run: () => void): CancelTimer {
    const id = this.nextId;
    this.nextId += 1;
    const timer: Timer = { id, at: this.time + Math.max(0, delay), run };
    const index = this.timers.findIndex((other) => other.at > timer.at);
    this.timers.splice(index < 0 ? this.timers.length : index, 0, timer);
    return () => {
      this.timers = this.timers.filter((other) => other.id !== id);
    };
  }

  /**
   * Advances the time, firing each due timer at its time and draining microtasks between timers.
   *
   * @param duration - Milliseconds to advance.
   * @returns A promise that resolves when the clock has reached the new time.
   */
  async advance(duration: Millis): Promise<void> {
    const until = this.time + duration;
    await drainMicrotasks();
    let timer = this.timers[0];
    while (timer !== undefined && timer.at <= until) {
      this.timers.shift();
      this.time = Math.max(this.time, timer.at);
      timer.run();
      await drainMicrotasks();
      [timer] = this.timers;
    }
    this.time = until;
    await drainMicrotasks();
  }
}
