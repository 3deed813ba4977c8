import { setMaxListeners } from 'node:events';
import type { CancelTimer, Clock, Millis } from '@camphorvane/core';

/** Result of a wait: the time elapsed, or the signal aborted first. */
export type WaitResult = 'elapsed' | 'interrupted';

/**
 * Waits until a duration has elapsed or a signal aborts.
 *
 * @param clock - Clock that times the wait.
 * @param millis - Duration; undefined waits for the signal only.
 * @param signal - Ends the wait early.
 * @returns Why the wait ended.
 */
export function waitOrAbort(
  clock: Clock,
  millis: Millis | undefined,
  signal: AbortSignal,
): Promise<WaitResult> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve('interrupted');
      return;
    }
    let cancelTimer: CancelTimer = () => undefined;
    const onAbort = (): void => {
      cancelTimer();
      resolve('interrupted');
    };
    signal.addEventListener('abort', onAbort, { once: true });
    if (millis === undefined) return;
    cancelTimer = clock.after(millis, () => {
      signal.removeEventListener('abort', onAbort);
      resolve('elapsed');
    });
  });
}

/**
 * Creates an abort controller without Node's warning about many listeners: every call in flight
 * may listen to its signal.
 */
export function sharedAbortController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
