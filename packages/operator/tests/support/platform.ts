import assert from 'node:assert/strict';
import { RandomSource, VirtualClock, type RoutingConfig, type TeamConfig } from '@camphorvane/core';
import {
  applyConfig,
  type ApplySuccess,
  type ApplyContext,
  type ApplyError,
  type ApplyOptions,
} from '@camphorvane/operator';
import { MemoryObjectStore } from '@camphorvane/stand-ins';
import type { Result } from 'neverthrow';

const STEP_MS = 5;
const MAX_STEPS = 100_000;

/** Advances the clock until a promise settles and gets its value; fails after {@link MAX_STEPS}. */
export async function advanceUntilSettled<T>(
  clock: VirtualClock,
  promise: PromiseLike<T>,
): Promise<T> {
  const state = { isDone: false };
  const markDone = (): void => {
    state.isDone = true;
  };
  promise.then(markDone, markDone);
  let steps = 0;
  await clock.advance(0);
  while (!state.isDone) {
    assert.ok(steps < MAX_STEPS, 'the promise never settles');
    await clock.advance(STEP_MS);
    steps += 1;
  }
  return promise;
}

/** Creates an empty object store with a virtual clock, and an `apply` that advances it. */
export function createOperator(): {
  readonly clock: VirtualClock;
  readonly store: MemoryObjectStore;
  readonly context: ApplyContext;
  apply(config: RoutingConfig, options: ApplyOptions): Promise<Result<ApplySuccess, ApplyError>>;
} {
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  const context = { store, clock, random: new RandomSource(1) };
  const apply = (config: RoutingConfig, options: ApplyOptions) =>
    advanceUntilSettled(clock, applyConfig(context, config, options));
  return { clock, store, context, apply };
}

/** Creates the configuration of a team. */
export function team(id: string, weight = 1): TeamConfig {
  const rate = { tokensPerSecond: 1000, burstTokens: 5000 };
  return { id, rate, keyDigests: [], models: [], weight };
}

/** Creates a configuration with only teams. */
export function configOf(...teams: readonly TeamConfig[]): RoutingConfig {
  return { teams, pools: [], services: [], waitRules: [] };
}

/** Gets the value of a result, or fails the test if it is an error. */
export function valueOf<T, E>(result: Result<T, E>): T {
  if (result.isErr()) assert.fail(`expected a value, got ${JSON.stringify(result.error)}`);
  return result.value;
}

/** Gets the error of a result, or fails the test if it is a value. */
export function errorOf<T, E>(result: Result<T, E>): E {
  if (result.isOk()) assert.fail(`expected an error, got ${JSON.stringify(result.value)}`);
  return result.error;
}
