import type { Clock, Millis } from './Clock.ts';
import { sleep } from './Clock.ts';

/** Milliseconds between a tick that has thrown and the next one. */
const FAILED_TICK_DELAY_MS: Millis = 100;

/**
 * Gets what was thrown in contained work.
 *
 * @param place - Name of the work.
 * @param thrown - What was thrown.
 */
export type FaultListener = (place: string, thrown: unknown) => void;

/** Throws again where nothing catches, so that a fault can't go unseen before a listener is set. */
const throwUncaught: FaultListener = (_place, thrown) => {
  queueMicrotask(() => {
    throw thrown;
  });
};

let listener = throwUncaught;

/**
 * Sets the listener for the faults of this process.
 *
 * @param next - The listener; undefined for none, in which case faults are uncaught exceptions.
 */
export function setFaultListener(next: FaultListener | undefined): void {
  listener = next ?? throwUncaught;
}

/**
 * Reports what was thrown, where the caller has dealt with its consequences.
 *
 * @param place - Name of the work that threw.
 * @param thrown - What was thrown.
 */
export function reportFault(place: string, thrown: unknown): void {
  listener(place, thrown);
}

/**
 * Runs work whose exception ends this work alone.
 *
 * @param place - Name of the work.
 * @param run - The work.
 * @returns The result of the work; undefined where it threw.
 */
export function contain<T>(place: string, run: () => T): T | undefined {
  try {
    return run();
  } catch (thrown) {
    reportFault(place, thrown);
    return undefined;
  }
}

/** A promise, or a result that is awaited like one. */
export interface Task {
  readonly then: (onDone: undefined, onFailed: (thrown: unknown) => void) => unknown;
}

/**
 * Starts a task that nobody waits for, and whose failure ends this task alone.
 *
 * @param place - Name of the task.
 * @param run - Starts the task; undefined where there is nothing to do.
 */
export function runInBackground(place: string, run: () => Task | undefined): void {
  contain(place, run)?.then(undefined, (thrown: unknown) => reportFault(place, thrown));
}

/** A task that repeats until its signal is aborted. */
export interface Loop {
  /** Name of the loop. */
  readonly place: string;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/**
 * Repeats a task until the signal is aborted. One that throws ends this tick alone; the next one follows
 * after {@link FAILED_TICK_DELAY_MS}.
 *
 * @param loop - The name, the clock and the signal.
 * @param tick - The task; it waits by itself where it has to.
 */
export async function runLoop(
  { place, clock, signal }: Loop,
  tick: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await tick();
    } catch (thrown) {
      reportFault(place, thrown);
      await sleep(clock, FAILED_TICK_DELAY_MS, signal);
    }
  }
}
