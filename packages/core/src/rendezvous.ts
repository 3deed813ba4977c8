import { hashToUint48 } from './digest.ts';

/**
 * Ranks candidates for a key by rendezvous hashing: removing a candidate moves only the keys that
 * ranked it first.
 *
 * @param key - The key to assign.
 * @param candidates - Names to rank, in any order.
 * @returns All candidates, best first.
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((name) => ({ name, weight: hashToUint48(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map((entry) => entry.name);
}

/**
 * Gets the highest-ranked candidate for a key.
 *
 * @param key - The key to assign.
 * @param candidates - Names to rank, in any order.
 * @returns The first of {@link rendezvousOrder}, or undefined without candidates.
 */
export function rendezvousFirst(key: string, candidates: readonly string[]): string | undefined {
  return rendezvousOrder(key, candidates)[0];
}
