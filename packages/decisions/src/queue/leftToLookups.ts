import type { Millis } from '@camphorvane/core';
import type { QueuedWork } from './QueuedWork.ts';

/** Share of each decode engine that a summary leaves free when it has just come. */
const AT_FIRST = 0.3;

/** Share that it leaves free when its bound in the queue is near. */
const AT_LAST = 0.05;

/**
 * Gets the share of memory and streams on each decode engine that a request must leave free.
 *
 * Made for a burst of lookups, or a loss of capacity to heat, while summaries fill the engines. A
 * summary keeps its memory for many seconds, and a lookup can't wait for one to end: a truck stands
 * in the yard. So a summary takes only what leaves room for a burst. But a share kept free under
 * lasting overload is capacity lost, and summaries would run into their bound: the longer one has
 * waited, the less it leaves.
 *
 * @param work - The request.
 * @param now - Present time.
 * @returns A share from 0 to 1; 0 for classes that can't wait.
 */
export function getLeftToLookups(work: QueuedWork, now: Millis): number {
  if (work.item.class !== 'summary') return 0;
  const age = Math.min(1, (now - work.submittedAt) / work.item.maxWaitMs);
  return AT_FIRST + (AT_LAST - AT_FIRST) * age;
}
