import { setMaxListeners } from 'node:events';
import type { CancelTimer, Clock, Millis } from '@camphorvane/core';

/**
 * One start of a host, as a clock that the host lives by.
 *
 * A killed host's timers never fire. A paused host's timers fire late, all at once, when it wakes:
 * by then the time has moved on, so code that trusts an old check is found out.
 */
export class HostLife implements Clock {
  private readonly ended = new AbortController();

  private paused = false;

  private backlog: readonly (() => void)[] = [];

  /**
   * @param base - The world's clock.
   * @param offset - Added to the time, since no two processes have the same monotonic time.
   */
  constructor(
    private readonly base: Clock,
    private readonly offset: Millis,
  ) {
    // Every open exchange of the host listens for its end.
    setMaxListeners(0, this.ended.signal);
  }

  /** Gets a signal that aborts when the host is killed. */
  get killed(): AbortSignal {
    return this.ended.signal;
  }

  /** Gets the host's monotonic time. */
  now(): Millis {
    return this.base.now() + this.offset;
  }

  /** Gets the wall time. */
  wall(): Millis {
    return this.base.wall();
  }

  /** Runs a function after a delay, unless the host is killed; late where it is paused. */
  after(delay: Millis, run: () => void): CancelTimer {
    const cell = { cancelled: false };
    const cancel = this.base.after(delay, () => {
      this.run(() => {
        if (!cell.cancelled) run();
      });
    });
    return () => {
      cell.cancelled = true;
      cancel();
    };
  }

  /** Ends the host at once. */
  kill(): void {
    this.ended.abort();
    this.backlog = [];
  }

  /** Stops the host for now. */
  pause(): void {
    this.paused = true;
  }

  /** Lets a paused host go on; what came in meanwhile happens now, in order. */
  resume(): void {
    this.paused = false;
    const { backlog } = this;
    this.backlog = [];
    backlog.forEach((run) => run());
  }

  /** Runs a function in the host: at once, after a pause, or never. */
  run(task: () => void): void {
    if (this.ended.signal.aborted) return;
    if (this.paused) this.backlog = [...this.backlog, task];
    else task();
  }

  /** Gets a promise that lets something into the host: at once, after a pause, or never. */
  gate(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve);
    });
  }
}
