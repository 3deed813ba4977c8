import type { Clock, VirtualClock } from '@camphorvane/core';

/** A clock whose monotonic time stops during suspensions and whose wall time can be stepped. */
export class SuspendableClock implements Clock {
  /** Total time for which the process was suspended, in milliseconds. */
  suspendedMs = 0;

  /** Step of the wall clock, in milliseconds. */
  wallStepMs = 0;

  constructor(private readonly source: VirtualClock) {}

  now(): number {
    return this.source.now() - this.suspendedMs;
  }

  wall(): number {
    return this.source.wall() + this.wallStepMs;
  }

  after(delay: number, run: () => void): () => void {
    return this.source.after(delay, run);
  }
}
