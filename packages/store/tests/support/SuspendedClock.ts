import type { Clock, VirtualClock } from '@camphorvane/core';

/** A clock whose process can be suspended, which its steady time does not see, or whose time of day jumps. */
export class SuspendedClock implements Clock {
  suspendedMs = 0;

  wallStepMs = 0;

  constructor(private readonly real: VirtualClock) {}

  now(): number {
    return this.real.now() - this.suspendedMs;
  }

  wall(): number {
    return this.real.wall() + this.wallStepMs;
  }

  after(delay: number, run: () => void): () => void {
    return this.real.after(delay, run);
  }
}
