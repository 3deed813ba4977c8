import type { Clock, Millis } from '@camphorvane/core';
import type { ServerRoster } from './ServerRoster.ts';

/** Looks at a roster again as the grace period of its missing servers ends. */
export class GraceTimer {
  private readonly clock: Clock;

  private readonly roster: ServerRoster;

  private readonly onEnd: () => void;

  /** When the roster is looked at next; undefined while no server is missing. */
  private dueAt: Millis | undefined;

  /**
   * @param clock - Clock of the host.
   * @param roster - The roster.
   * @param onEnd - Called as a grace period ends.
   */
  constructor(clock: Clock, roster: ServerRoster, onEnd: () => void) {
    this.clock = clock;
    this.roster = roster;
    this.onEnd = onEnd;
  }

  /** Waits for the end of the grace period, which an outage of the store puts off. */
  schedule(): void {
    const now = this.clock.now();
    const graceEnd = this.roster.getGraceEnd(now);
    if (graceEnd === undefined || (this.dueAt !== undefined && this.dueAt <= graceEnd)) return;
    this.dueAt = graceEnd;
    this.clock.after(Math.ceil(graceEnd - now), () => {
      this.dueAt = undefined;
      this.onEnd();
      this.schedule();
    });
  }
}
