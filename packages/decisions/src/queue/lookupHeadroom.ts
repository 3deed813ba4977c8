import type { Millis } from '@camphorvane/core';
import type { QueuedWork } from './QueuedWork.ts';

/** Fraction that a summary leaves free when it has just been submitted. */
const INITIAL_HEADROOM = 0.3;

/** Fraction that a summary leaves free when its maximum wait has almost passed. */
const FINAL_HEADROOM = 0.05;

/**
 * Gets the fraction of memory and streams that a request must leave free for lookups on a decode engine.
 *
 * A summary holds its memory for many seconds, and lookups are interactive and can't wait that long. So
 * summaries leave room for a burst of lookups, or for a loss of capacity, such as by thermal throttling.
 * Under lasting overload that room would be wasted while summaries exceed their maximum wait, so it shrinks
 * with the time waited.
 *
 * @param work - The request.
 * @param now - Present time.
 * @returns A fraction from 0 to 1; 0 for all classes but summaries.
 */
export function getLookupHeadroom(work: QueuedWork, now: Millis): number {
  if (work.item.class !== 'summary') return 0;
  const waitedFraction = Math.min(1, (now - work.submittedAt) / work.item.maxWaitMs);
  return INITIAL_HEADROOM + (FINAL_HEADROOM - INITIAL_HEADROOM) * waitedFraction;
}
