/** A duration or a point in time, in milliseconds. */
export type Millis = number;

/** Cancels a timer that has not fired yet; idempotent. */
export type CancelTimer = () => void;

/**
 * The only source of time in the project.
 *
 * `now` is monotonic: a step of the wall clock must not lengthen a lease, so leases, grants and deadlines
 * are checked against it. Values of `now` from two processes are not comparable.
 */
export interface Clock {
  /** Gets the monotonic time in milliseconds since an arbitrary origin of this process. */
  now(): Millis;

  /**
   * Gets the wall time in milliseconds since the Unix epoch. It may step, so it serves display, logs, and
   * turns that hosts take without talking to each other.
   */
  wall(): Millis;

  /**
   * Runs a function once after a delay.
   *
   * @param delay - Milliseconds from now; values below zero count as zero.
   * @param run - The function to run.
   * @returns A function that cancels the timer.
   */
  after(delay: Millis, run: () => void): CancelTimer;
}

/**
 * Gets the function that converts times of a clock to wall time.
 *
 * @param clock - The clock.
 * @returns The function.
 */
export function wallTimeOf(clock: Clock): (at: Millis) => Millis {
  return (at) => clock.wall() + at - clock.now();
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
