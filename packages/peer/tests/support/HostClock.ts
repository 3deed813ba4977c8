import type { CancelTimer, Clock, Millis } from '@camphorvane/core';

/** A host's own clock over the test's clock: it runs at a rate of its own, and can be paused. */
export class HostClock implements Clock {
  private readonly base: Clock;

  private readonly rate: number;

  private held: (() => void)[] | undefined;

  constructor(base: Clock, rate = 1) {
    this.base = base;
    this.rate = rate;
  }

  get paused(): boolean {
    return this.held !== undefined;
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

  /** Runs something now, or on waking while the host is paused. */
  whenAwake(run: () => void): void {
    if (this.held === undefined) run();
    else this.held.push(run);
  }

  /** Freezes the host's process: time goes on, but nothing of it runs. */
  pause(): void {
    this.held ??= [];
  }

  resume(): void {
    const held = this.held ?? [];
    this.held = undefined;
    held.forEach((run) => run());
  }
}
