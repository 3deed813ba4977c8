import type { Millis, UpstreamId } from '@camphorvane/core';

/** What is known of a trait that requests had which were running on upstreams that crashed. */
export interface TraitRecord {
  /** Times of its crashes since the last complete answer to a request with it, by upstream. */
  readonly crashes: ReadonlyMap<UpstreamId, Millis>;
  /** Whether any complete answer to a request with it is remembered. */
  readonly wasAnswered: boolean;
  /** Whether different requests may have it; else it is the whole content of one. */
  readonly isShared: boolean;
  /** Requests with it that callers have sent to this host lately, also refused ones; 0 for whole requests. */
  readonly recentRequests: number;
}

/**
 * Whether a request would crash the upstream that runs it.
 *
 * - `innocent`: other traits explain the crashes of its own, or all but a coincidence.
 * - `uncertain`: it has a suspected trait, but also lacks one that may explain the crashes in its place.
 * - `certain`: only its own traits explain several crashes.
 */
export type CrashVerdict = 'innocent' | 'uncertain' | 'certain';

/** Milliseconds from the first crash of a series to the next one; a common cause crashes many upstreams at once. */
const SERIES_MS: Millis = 1_000;

/** Series of crashes that make a trait suspect although requests with it were answered before. */
const MIN_SERIES_AFTER_ANSWER = 2;

/** Series of crashes from which on a trait may be certain. */
const CERTAIN_SERIES_AFTER_ANSWER = 4;
const CERTAIN_SERIES_OF_SHARED = 2;

/** Crashes that no trait of other requests explains, from which on a trait is certain: one may be a coincidence. */
const CERTAIN_CRASHES = 2;

/** A whole request explains crashes better than a trait with less than so many crashes more, which many share. */
const CONTENT_LEAD_CRASHES = 2;

/** Requests by which a trait is asked for more often than a suspect beside it, so that it is the usual one of both. */
const MIN_LEAD_REQUESTS = 5;

/** Milliseconds within which all reports of an upstream are of one crash: a host that was frozen reads late. */
export const SAME_CRASH_MS: Millis = 30_000;

/**
 * Tells whether a trait has enough crashes to be suspected.
 *
 * @param trait - The trait.
 * @param minCrashes - Crashes of distinct upstreams from which on a trait is suspected.
 */
export function isSuspected(trait: TraitRecord, minCrashes: number): boolean {
  if (trait.crashes.size < minCrashes) return false;
  const minSeries = Math.min(MIN_SERIES_AFTER_ANSWER, minCrashes);
  return !trait.wasAnswered || countSeries(trait) >= minSeries;
}

/**
 * Judges a request by one of its suspected traits.
 *
 * A crash has one cause, which all requests that crash upstreams have and no answered request has. Each
 * crash is weighed by itself, so that what explains some crashes of a trait doesn't hide the others.
 *
 * @param trait - The suspected trait.
 * @param suspectsAt - Gets the other suspected traits that requests had which ran on an upstream when it
 *   crashed, without those of the request.
 * @param sharedAt - Gets the other shared traits in the same way, also those with one crash.
 * @returns The verdict.
 */
export function judgeTrait(
  trait: TraitRecord,
  suspectsAt: (upstream: UpstreamId) => readonly TraitRecord[],
  sharedAt: (upstream: UpstreamId) => readonly TraitRecord[],
): CrashVerdict {
  const explainedBy = (
    others: readonly TraitRecord[],
    [upstream, at]: readonly [UpstreamId, Millis],
    explains: (other: TraitRecord) => boolean,
  ): boolean =>
    others.some(
      (other) => explains(other) && isSameCrash(other.crashes.get(upstream) ?? Infinity, at),
    );
  const crashes = [...trait.crashes];
  const unexplained = crashes.filter(
    (crash) => !explainedBy(suspectsAt(crash[0]), crash, (other) => isStronger(other, trait)),
  );
  if (unexplained.length < (trait.isShared ? CERTAIN_CRASHES : 1)) return 'innocent';
  const usual = unexplained.filter((crash) =>
    explainedBy(suspectsAt(crash[0]), crash, (other) => isFarRarer(other, trait)),
  );
  if (2 * usual.length >= unexplained.length) return 'innocent';
  if (countSeries(trait) < certainSeries(trait)) return 'uncertain';
  const own = unexplained.filter(
    (crash) =>
      !explainedBy([...suspectsAt(crash[0]), ...sharedAt(crash[0])], crash, (other) =>
        mayExplain(other, trait),
      ),
  );
  return own.length >= Math.min(CERTAIN_CRASHES, crashes.length) ? 'certain' : 'uncertain';
}

/**
 * Tells whether a trait explains crashes better than another one: it was never answered, or has more crashes. The content
 * of one request is hardly at several of them by chance, while what many share always is.
 */
function isStronger(one: TraitRecord, other: TraitRecord): boolean {
  if (one.wasAnswered !== other.wasAnswered) return other.wasAnswered;
  const lead = !one.isShared && other.isShared ? CONTENT_LEAD_CRASHES : 0;
  return one.crashes.size + lead > other.crashes.size;
}

/** Tells whether callers ask so much less often for a shared trait that the other one may be beside it by chance. */
function isFarRarer(one: TraitRecord, other: TraitRecord): boolean {
  const lead = other.recentRequests - one.recentRequests;
  return one.isShared && mayExplain(one, other) && lead >= MIN_LEAD_REQUESTS;
}

/** Tells whether a trait may explain crashes in place of another one. */
function mayExplain(one: TraitRecord, other: TraitRecord): boolean {
  return (other.wasAnswered || !one.wasAnswered) && (other.isShared || !one.isShared);
}

function certainSeries({ wasAnswered, isShared }: TraitRecord): number {
  if (wasAnswered) return CERTAIN_SERIES_AFTER_ANSWER;
  return isShared ? CERTAIN_SERIES_OF_SHARED : 1;
}

/** Counts crashes, those that follow another one at once as one. */
function countSeries({ crashes }: TraitRecord): number {
  const times = [...crashes.values()].sort((a, b) => a - b);
  return times.reduce(
    ({ count, from }, at) =>
      at >= from + SERIES_MS ? { count: count + 1, from: at } : { count, from },
    { count: 0, from: -Infinity },
  ).count;
}

function isSameCrash(one: Millis, other: Millis): boolean {
  return Math.abs(one - other) <= SAME_CRASH_MS;
}
