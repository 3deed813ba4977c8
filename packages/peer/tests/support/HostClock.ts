import type { CancelTimer, Clock, Millis } from '@camphorvane/core';

/** A host's clock derived from the test's clock, with its own rate; it can be paused. */
export class HostClock implements Clock {
  private readonly base: Clock;

  private readonly rate: number;

  private pendingCallbacks: (() => void)[] | undefined;

  constructor(base: Clock, rate = 1) {
    this.base = base;
    this.rate = rate;
  }

  get paused(): boolean {
    return this.pendingCallbacks !== undefined;
  }

  now(): Millis {
    return this.base.now() * this.rate;
  }

  wall(): Millis {
    return this.base.wall();
  }

  after(delay: Millis, run: () => void): CancelTimer {
    let cancelled = false;
    const fire = (): void => {
      if (!cancelled) run();
    };
    const cancel = this.base.after(delay / this.rate, () => this.whenAwake(fire));
    return () => {
      cancelled = true;
      cancel();
    };
  }

  /** Runs a callback now, or when the host resumes where it is paused. */
  whenAwake(run: () => void): void {
    if (this.pendingCallbacks === undefined) run();
    else this.pendingCallbacks.push(run);
  }

  /** Freezes the host's process: time advances, but none of its callbacks run. */
  pause(): void {
    this.pendingCallbacks ??= [];
  }

  resume(): void {
    const pendingCallbacks = this.pendingCallbacks ?? [];
    this.pendingCallbacks = undefined;
    pendingCallbacks.forEach((run) => run());
  }
}
