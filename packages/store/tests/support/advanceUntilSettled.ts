import assert from 'node:assert/strict';
import type { VirtualClock } from '@camphorvane/core';

const STEP_MS = 5;
const MAX_STEPS = 100_000;

/** Advances the virtual time until a promise is settled, and gets its value. */
export async function advanceUntilSettled<T>(
  clock: VirtualClock,
  promise: PromiseLike<T>,
): Promise<T> {
  const state = { isDone: false };
  const finish = (): void => {
    state.isDone = true;
  };
  promise.then(finish, finish);
  let steps = 0;
  await clock.advance(0);
  while (!state.isDone) {
    assert.ok(steps < MAX_STEPS, 'the promise did not settle within the maximum number of steps');
    await clock.advance(STEP_MS);
    steps += 1;
  }
  return promise;
}
