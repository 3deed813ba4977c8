/** A span or a point of time, in milliseconds. */
export type Millis = number;

/** Ends a timer that has not fired yet; calling it again does nothing. */
export type CancelTimer = () => void;

/**
 * The one source of time for all code of the project.
 *
 * `now` is monotonic: leases, grants and deadlines are checked against it, since a step of the
 * wall clock would otherwise lengthen a lease. Two processes must never compare their `now`.
 */
export interface Clock {
  /** Gets the monotonic time in milliseconds since some start of this process. */
  now(): Millis;

  /** Gets the wall time in milliseconds since the Unix epoch, for display and logs only. */
  wall(): Millis;

  /**
   * Runs a function once after a delay.
   *
   * @param delay - Milliseconds from now; values below zero count as zero.
   * @param run - What to run.
   * @returns A function that cancels the timer.
   */
  after(delay: Millis, run: () => void): CancelTimer;
}

/**
 * Waits on a clock.
 *
 * @param clock - The clock to wait on.
 * @param delay - Milliseconds to wait.
 * @param signal - Ends the wait early when aborted.
 * @returns A promise that resolves after the delay or on abort; it never rejects.
 */
export function sleep(clock: Clock, delay: Millis, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    let cancel: CancelTimer = () => undefined;
    const finish = (): void => {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    cancel = clock.after(delay, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
