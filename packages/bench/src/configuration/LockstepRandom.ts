import { RandomSource } from '@camphorvane/core';

/** A source without chance: hosts that draw from it do everything in the same instant. */
export class LockstepRandom extends RandomSource {
  constructor() {
    super(0);
  }

  /** Gets the same number each time. */
  override next(): number {
    return 0.999;
  }
}
