import { hashNumber } from './digest.ts';

/**
 * Orders candidates for a key by rendezvous hashing: each key has an order of its own, and taking
 * one candidate away moves only the keys that had it first.
 *
 * @param key - What is placed.
 * @param candidates - Names to choose among; their order does not matter.
 * @returns All candidates, best first.
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((name) => ({ name, weight: hashNumber(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map((entry) => entry.name);
}

/**
 * Gets the best candidate for a key, if there is any.
 *
 * @param key - What is placed.
 * @param candidates - Names to choose among.
 * @returns The first of {@link rendezvousOrder}, or undefined without candidates.
 */
export function rendezvousFirst(key: string, candidates: readonly string[]): string | undefined {
  return rendezvousOrder(key, candidates)[0];
}
