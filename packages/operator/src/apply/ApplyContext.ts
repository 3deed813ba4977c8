import type { Clock, RandomSource } from '@camphorvane/core';
import type { ObjectStore } from '@camphorvane/store';

/** Dependencies of applying a configuration. */
export interface ApplyContext {
  /** The platform's object store. */
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Source of the jitter between retries. */
  readonly random: RandomSource;
}
