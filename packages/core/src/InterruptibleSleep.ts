import type { Clock, Millis } from './Clock.ts';

/** A sleep of one task that another task can interrupt. */
export class InterruptibleSleep {
  private readonly clock: Clock;

  private finish: () => void = () => undefined;

  /** @param clock - Times the wait. */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Waits until the delay has passed, {@link interrupt} is called or the signal is aborted.
   *
   * @param delay - Milliseconds to wait.
   * @param signal - Ends the wait early when aborted.
   * @returns A promise that never rejects.
   */
  wait(delay: Millis, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal.aborted) {
        resolve();
        return;
      }
      let cancel = (): void => undefined;
      const finish = (): void => {
        cancel();
        signal.removeEventListener('abort', finish);
        this.finish = () => undefined;
        resolve();
      };
      cancel = this.clock.after(delay, finish);
      signal.addEventListener('abort', finish, { once: true });
      this.finish = finish;
    });
  }

  /** Ends the current wait, if any. */
  interrupt(): void {
    this.finish();
  }
}
