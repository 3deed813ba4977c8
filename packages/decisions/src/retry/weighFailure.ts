import type { UpstreamId } from '@camphorvane/core';
import { isRarer, MIN_LEAD_REQUESTS, MIN_REPEATED_REQUESTS } from './judgeTraits.ts';
import type { TraitRecord } from './judgeTraits.ts';

/** What a failed trial shows: `none` where another trait explains its crash, `weak` where one may, else `strong`. */
export type FailureWeight = 'none' | 'weak' | 'strong';

/** What is known of the traits that were on trial. */
export interface FailureContext {
  /** See {@link isMostUsual}. */
  readonly isUsual: boolean;
  /** Whether one of them is unresolved; see `CrashVerdict`. */
  readonly isUnresolved: boolean;
  /** Crashes that a whole request may have by its own attempts. */
  readonly minUpstreams: number;
}

/**
 * Weighs a trial that failed by the crash of an upstream.
 *
 * @param tried - The traits that were on trial.
 * @param beside - Other traits of requests that ran there when it crashed.
 * @param context - What is known of the traits on trial.
 * @returns What the failure shows of the traits on trial.
 */
export function weighFailure(
  tried: readonly TraitRecord[],
  beside: readonly TraitRecord[],
  { isUsual, isUnresolved, minUpstreams }: FailureContext,
): FailureWeight {
  const others = beside.filter((other) => !tried.some((trait) => isRarer(trait, other)));
  // Requests with a part that is suspected are on trial themselves; two such parts would excuse each other for good.
  const mayExcuse = (other: TraitRecord): boolean =>
    mayBeCulprit(other, minUpstreams) && !(isUnresolved && other.crashes.size >= minUpstreams);
  if (others.some(mayExcuse)) return 'none';
  return isUsual || others.some(isUnanswered) ? 'weak' : 'strong';
}

/**
 * Tells whether callers ask for all of these traits more often than for any other one that was beside them at crashes, and
 * far more often than for one of those that was in no answer, which may be the cause of crashes at large.
 *
 * @param traits - The traits.
 * @param sharedAt - Gets the other shared traits of requests that ran on an upstream when it crashed.
 */
export function isMostUsual(
  traits: readonly TraitRecord[],
  sharedAt: (upstream: UpstreamId) => readonly TraitRecord[],
): boolean {
  return traits.every((trait) => {
    const beside = [...trait.crashes.keys()].flatMap((upstream) => sharedAt(upstream));
    const isFarRarer = (other: TraitRecord): boolean => isRarer(other, trait, MIN_LEAD_REQUESTS);
    return (
      !beside.some((other) => isRarer(trait, other)) &&
      beside.some((other) => isUnanswered(other) && isFarRarer(other))
    );
  });
}

/** Tells whether a trait that was in no answer may be a culprit: several requests have it, or one beyond its own attempts. */
function mayBeCulprit(
  { crashes, wasAnswered, isShared, recentRequests }: TraitRecord,
  minUpstreams: number,
): boolean {
  if (wasAnswered) return false;
  if (!isShared) return crashes.size > minUpstreams;
  return crashes.size > 0 && recentRequests > MIN_REPEATED_REQUESTS;
}

/** Tells whether a shared trait that was in no answer was at more than one crash. */
function isUnanswered({ crashes, wasAnswered, isShared }: TraitRecord): boolean {
  return isShared && !wasAnswered && crashes.size > 1;
}
