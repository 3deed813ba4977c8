import type { Millis, Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';

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

/** When upstreams take the requests of a queue, which are in the order of their turns. */
export interface QueueOpenings {
  /** All openings in order. */
  readonly openings: readonly Opening[];
  /** Requests of the queue that go first. */
  readonly position: number;
}

/**
 * Gets the refusal of a queued request for which no upstream opens in time.
 *
 * @param queue - The openings, and the request's place in the queue.
 * @param timeoutAt - Time at which the request gives up.
 * @param now - Present time.
 * @param refusal - Text of the refusal, and its retry-after where nothing is known of an opening.
 * @returns The refusal, which tells when an upstream opens; undefined where one opens in time.
 */
export function refusalWithoutOpening(
  { openings, position }: QueueOpenings,
  timeoutAt: Millis,
  now: Millis,
  { text, retryAfterMs }: { readonly text: string; readonly retryAfterMs: Millis },
): Refusal | undefined {
  const opensAt = openingFor(openings, position);
  if (opensAt !== undefined && opensAt <= timeoutAt) return undefined;
  const at = opensAt ?? openings.at(-1)?.at;
  return notRun('no_capacity', text, at === undefined ? retryAfterMs : Math.max(0, at - now));
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
