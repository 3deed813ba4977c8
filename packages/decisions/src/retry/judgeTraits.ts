import type { Millis, UpstreamId } from '@camphorvane/core';

/** What is known of a trait that requests had which were running on upstreams that crashed. */
export interface TraitRecord {
  /** Times of its crashes since the last complete answer to a request with it, by upstream. */
  readonly crashes: ReadonlyMap<UpstreamId, Millis>;
  /** Whether any complete answer to a request with it is remembered. */
  readonly wasAnswered: boolean;
  /** Whether different requests may have it; else it is the whole content of one. */
  readonly isShared: boolean;
  /** Requests with it that callers have sent to this host lately, also refused ones. */
  readonly recentRequests: number;
  /** Whether a crash of it is older than this process, which doesn't know the trials since then. */
  readonly hasEarlierCrash: boolean;
}

/** Crashes of distinct upstreams that it takes to judge a trait. */
export interface CrashThresholds {
  /** Those from which on it is suspected. */
  readonly minCrashes: number;
  /** Those of a shared trait that no other one explains, from which on it is certain; with fewer a trial has to show it. */
  readonly certainCrashes: number;
}

/**
 * Whether a request would crash the upstream that runs it.
 *
 * - `innocent`: other traits explain the crashes of its own, or all but a coincidence.
 * - `uncertain`: it has a suspected trait, but also lacks one that may explain the crashes in its place.
 * - `unresolved`: others may explain the crashes, but of these there are more than it takes to suspect a trait, and
 *   no answer since. Comparing numbers of crashes can't clear it: two culprits that run side by side have about as many.
 *   The same holds where the process has started since, and doesn't know what the comparison rests on.
 * - `certain`: only its own traits explain several crashes.
 */
export type CrashVerdict = 'innocent' | 'uncertain' | 'unresolved' | 'certain';

/** Milliseconds from the first crash of a series to the next one; a common cause crashes many upstreams at once. */
const SERIES_MS: Millis = 1_000;

/** Series of crashes that make a trait suspect although requests with it were answered before. */
const MIN_SERIES_AFTER_ANSWER = 2;

/** Series of crashes from which on a trait may be certain. */
const CERTAIN_SERIES = 3;
const CERTAIN_SERIES_AFTER_ANSWER = 4;

/** Crashes of a trait that nothing else explains, up to which they may be a coincidence. */
const COINCIDENT_CRASHES = 1;

/** A whole request explains crashes better than an often asked for trait with less than so many crashes more. */
const CONTENT_LEAD_CRASHES = 2;

/** Milliseconds without a crash after which a further one is a relapse: what was under way before has ended. */
const CALM_MS: Millis = 5_000;

/** Requests by which a trait is asked for more often than a suspect beside it, so that it is the usual one of both. */
export const MIN_LEAD_REQUESTS = 5;

/** Recent requests with a trait above which more than one caller's retries have it. */
export const MIN_REPEATED_REQUESTS = 2;

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
 * @param thresholds - Crashes that it takes.
 * @param suspectsAt - Gets the other suspected traits that requests had which ran on an upstream when it
 *   crashed, without those of the request.
 * @param sharedAt - Gets the other shared traits in the same way, also those with one crash.
 * @returns The verdict.
 */
export function judgeTrait(
  trait: TraitRecord,
  thresholds: CrashThresholds,
  suspectsAt: (upstream: UpstreamId) => readonly TraitRecord[],
  sharedAt: (upstream: UpstreamId) => readonly TraitRecord[],
): CrashVerdict {
  const verdict = compareTrait(trait, thresholds, suspectsAt, sharedAt);
  if (verdict === 'certain' || !trait.isShared) return verdict;
  const isRepeated = trait.crashes.size > thresholds.minCrashes && hasCertainSeries(trait);
  const isForgotten = verdict === 'uncertain' && trait.hasEarlierCrash;
  return isRepeated || isForgotten ? 'unresolved' : verdict;
}

/**
 * Counts the crashes that a shared trait has caused after a calm, when it had been held back: those without a rarer trait
 * beside it that was in no answer.
 *
 * @param trait - The trait.
 * @param minCrashes - Crashes from which on it is suspected.
 * @param sharedAt - Gets the other shared traits of requests that ran on an upstream when it crashed.
 */
export function countRelapses(
  trait: TraitRecord,
  minCrashes: number,
  sharedAt: (upstream: UpstreamId) => readonly TraitRecord[],
): number {
  const crashes = [...trait.crashes].sort(([, a], [, b]) => a - b);
  return crashes.filter((crash, n) => {
    const [, before = -Infinity] = crashes[n - 1] ?? [];
    const isAfterCalm = n >= minCrashes && crash[1] - before >= CALM_MS;
    return isAfterCalm && !hasRarerBeside(crash, trait, sharedAt);
  }).length;
}

function hasRarerBeside(
  crash: readonly [UpstreamId, Millis],
  trait: TraitRecord,
  sharedAt: (upstream: UpstreamId) => readonly TraitRecord[],
): boolean {
  return explainedBy(
    sharedAt(crash[0]),
    crash,
    (other) =>
      !other.wasAnswered && other.crashes.size > COINCIDENT_CRASHES && isRarer(other, trait),
  );
}

function explainedBy(
  others: readonly TraitRecord[],
  [upstream, at]: readonly [UpstreamId, Millis],
  explains: (other: TraitRecord) => boolean,
): boolean {
  return others.some(
    (other) => explains(other) && isSameCrash(other.crashes.get(upstream) ?? Infinity, at),
  );
}

/** Judges a suspected trait by comparing it with the others at its crashes. */
function compareTrait(
  trait: TraitRecord,
  { minCrashes, certainCrashes }: CrashThresholds,
  suspectsAt: (upstream: UpstreamId) => readonly TraitRecord[],
  sharedAt: (upstream: UpstreamId) => readonly TraitRecord[],
): CrashVerdict {
  const crashes = [...trait.crashes];
  const unexplained = crashes.filter(
    (crash) =>
      !explainedBy(
        suspectsAt(crash[0]),
        crash,
        (other) => isStronger(other, trait, minCrashes) && !isRarer(trait, other),
      ),
  );
  if (unexplained.length < Math.min(minCrashes, COINCIDENT_CRASHES + 1)) return 'innocent';
  // Hardly any request is at several crashes by chance, so what else was there is no excuse.
  if (!trait.isShared) return 'certain';
  const usual = unexplained.filter((crash) =>
    explainedBy(suspectsAt(crash[0]), crash, (other) => isRarer(other, trait, MIN_LEAD_REQUESTS)),
  );
  if (2 * usual.length >= unexplained.length) return 'innocent';
  if (!hasCertainSeries(trait)) return 'uncertain';
  const own = unexplained.filter(
    (crash) =>
      !explainedBy([...suspectsAt(crash[0]), ...sharedAt(crash[0])], crash, (other) =>
        mayExplain(other, trait, minCrashes),
      ),
  );
  return own.length >= certainCrashes ? 'certain' : 'uncertain';
}

/**
 * Tells whether a trait explains crashes better than another one: it was never answered, or has more crashes. What many
 * share is at crashes by chance, and so explains none of a whole request.
 */
function isStronger(one: TraitRecord, other: TraitRecord, minCrashes: number): boolean {
  if (one.isShared && !other.isShared) return false;
  if (one.wasAnswered !== other.wasAnswered) return other.wasAnswered;
  const isUsual =
    other.isShared &&
    isRepeatedRequest(one, minCrashes) &&
    other.recentRequests >= MIN_LEAD_REQUESTS;
  const lead = isUsual ? CONTENT_LEAD_CRASHES : 0;
  return one.crashes.size + lead > other.crashes.size;
}

/**
 * Tells whether callers ask less often for a shared trait than for another shared one, which may then be beside it by chance.
 *
 * @param one - The trait.
 * @param other - The other one.
 * @param minLead - Recent requests that the other one has more.
 */
export function isRarer(one: TraitRecord, other: TraitRecord, minLead = 1): boolean {
  const lead = other.recentRequests - one.recentRequests;
  const areShared = one.isShared && other.isShared;
  return areShared && !(one.wasAnswered && !other.wasAnswered) && lead >= minLead;
}

/** Tells whether a trait may explain crashes in place of a shared one. */
function mayExplain(one: TraitRecord, other: TraitRecord, minCrashes: number): boolean {
  if (one.wasAnswered && !other.wasAnswered) return false;
  return one.isShared ? one.crashes.size > COINCIDENT_CRASHES : isRepeatedRequest(one, minCrashes);
}

/** Tells whether a whole request comes again and again, or has crashed more upstreams than its own attempts can. */
function isRepeatedRequest(
  { isShared, crashes, recentRequests }: TraitRecord,
  minCrashes: number,
): boolean {
  if (isShared) return false;
  return crashes.size >= minCrashes || recentRequests > MIN_REPEATED_REQUESTS;
}

/** Tells whether the crashes of a trait are spread over enough time for a cause of their own. */
function hasCertainSeries(trait: TraitRecord): boolean {
  const minSeries = trait.wasAnswered ? CERTAIN_SERIES_AFTER_ANSWER : CERTAIN_SERIES;
  return countSeries(trait) >= minSeries;
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
