import type { Clock, RandomSource } from '@camphorvane/core';
import type { ObjectStore } from '@camphorvane/store';

/** What applying a configuration runs on. */
export interface ApplyContext {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
}
