import type { Millis } from '@camphorvane/core';
import type { QueueControls } from '../admission/QueueControls.ts';

/** Overload controls of a queue, and what its expected drain rate follows from. */
export interface LocalQueueControls extends QueueControls {
  /** Gets how many streams the engines run at once; absent where waits are estimated by measurement only. */
  readonly streamCapacity?: (now: Millis) => number;
}
