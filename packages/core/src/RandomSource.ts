import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** A seeded random number generator; a run can be reproduced from its seed. */
export class RandomSource {
  private readonly generator: RandomGenerator;

  /** @param seed - Any integer; equal seeds give equal sequences. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Gets the next number in [0, 1). */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Gets the next integer of a range.
   *
   * @param low - Smallest value, inclusive.
   * @param high - Largest value, inclusive.
   * @returns An integer from low to high.
   */
  int(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /**
   * Gets an exponentially distributed value.
   *
   * @param mean - The mean of the distribution, in any unit.
   * @returns A value in the same unit.
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }
}
