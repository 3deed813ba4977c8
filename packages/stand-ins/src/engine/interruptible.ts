import { setMaxListeners } from 'node:events';
import type { CancelTimer, Clock, Millis } from '@camphorvane/core';

/** How a wait ended. */
export type Waited = 'elapsed' | 'interrupted';

/**
 * Waits until a time has passed or a signal aborts.
 *
 * @param clock - The clock to wait on.
 * @param millis - How long to wait; undefined waits for the signal alone.
 * @param signal - Ends the wait early.
 * @returns How the wait ended.
 */
export function interruptible(
  clock: Clock,
  millis: Millis | undefined,
  signal: AbortSignal,
): Promise<Waited> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve('interrupted');
      return;
    }
    let cancel: CancelTimer = () => undefined;
    const interrupt = (): void => {
      cancel();
      resolve('interrupted');
    };
    signal.addEventListener('abort', interrupt, { once: true });
    if (millis === undefined) return;
    cancel = clock.after(millis, () => {
      signal.removeEventListener('abort', interrupt);
      resolve('elapsed');
    });
  });
}

/** Makes a controller whose signal any number of exchanges may listen to. */
export function manyListeners(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
