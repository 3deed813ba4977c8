import { reportFault } from '@camphorvane/core';
import { waitForStopSignal } from './stopSignals.ts';

/** Why a host leaves: asked by a signal or an operator, or because of a fault that nothing has caught. */
export type EndReason = 'asked' | 'fault';

/**
 * Waits until the host has to leave.
 *
 * After an exception or a rejection that nothing catches, the state of the process is unknown, so it serves no longer
 * than it takes to leave in order. The listener stays: without it, the process would end at once, with all requests
 * in flight.
 *
 * @param asked - Resolves when an operator asks the host to leave; absent where none can.
 * @returns Why the host has to leave.
 */
export function waitForEnd(asked?: Promise<void>): Promise<EndReason> {
  const fault = new Promise<EndReason>((resolve) => {
    process.on('uncaughtException', (thrown) => {
      reportFault('uncaught', thrown);
      resolve('fault');
    });
  });
  const requests = [waitForStopSignal(), ...(asked === undefined ? [] : [asked])];
  return Promise.race([fault, ...requests.map((request) => request.then(() => 'asked' as const))]);
}

/**
 * Runs a drain to its end.
 *
 * @param drain - The drain.
 * @returns Its result; undefined where it ended with a fault.
 */
export async function finishWithoutFault<T>(drain: Promise<T>): Promise<T | undefined> {
  try {
    return await drain;
  } catch (thrown) {
    reportFault('drain', thrown);
    return undefined;
  }
}
