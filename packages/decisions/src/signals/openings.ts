import type { Millis } from '@camphorvane/core';

/** A time from which an upstream takes more requests of this host. */
export interface Opening {
  readonly at: Millis;
  readonly requests: number;
}

/**
 * Merges the openings of the upstreams that may serve a request.
 *
 * @param openings - Openings of each upstream; undefined for an upstream without constraints.
 * @returns All openings in order; undefined where an upstream has no constraints.
 */
export function mergeOpenings(
  openings: readonly (readonly Opening[] | undefined)[],
): readonly Opening[] | undefined {
  const known = openings.filter((one) => one !== undefined);
  if (known.length < openings.length) return undefined;
  return known.flat().sort((a, b) => a.at - b.at);
}

/** Removes one request from the first opening. */
export function takeOpening(openings: readonly Opening[]): readonly Opening[] {
  const [first, ...others] = openings;
  if (first === undefined || first.requests <= 1) return others;
  return [{ ...first, requests: first.requests - 1 }, ...others];
}

/**
 * Gets when a queued request gets its turn, at the earliest.
 *
 * @param openings - The openings in order.
 * @param position - Requests that go first.
 * @returns The time; undefined where there are too few openings.
 */
export function openingFor(openings: readonly Opening[], position: number): Millis | undefined {
  let remaining = position;
  return openings.find(({ requests }) => {
    remaining -= requests;
    return remaining < 0;
  })?.at;
}
