import { hashToUint48 } from '@camphorvane/core';

const SEEDS = 2 ** 31;

/**
 * Gets a seed for one purpose of a run. Small seeds are spread out first, because a generator's
 * first numbers after a small seed are far from random.
 *
 * @param seed - The seed of the run.
 * @param purpose - What the numbers are for.
 * @returns A seed of 31 bits.
 */
export function spreadSeed(seed: number, purpose: string): number {
  return hashToUint48(`${seed} ${purpose}`) % SEEDS;
}
