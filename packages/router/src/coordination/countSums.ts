/** Counters by name. */
export type Counts = readonly (readonly [string, number])[];

/** Sums counters of the same name. */
export function sumCounts(counts: Counts): ReadonlyMap<string, number> {
  return counts.reduce(
    (sums, [name, count]) => sums.set(name, (sums.get(name) ?? 0) + count),
    new Map<string, number>(),
  );
}

/**
 * Gets sums without one of the parts.
 *
 * @param sums - The sums.
 * @param own - The part to leave out; absent where it is in none of them.
 */
export function countsWithout(
  sums: ReadonlyMap<string, number>,
  own: Counts = [],
): ReadonlyMap<string, number> {
  return own.reduce(
    (left, [name, count]) => left.set(name, (left.get(name) ?? 0) - count),
    new Map(sums),
  );
}
