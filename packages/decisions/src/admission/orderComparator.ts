import type { Millis } from '@camphorvane/core';
import type { OrderedEntry, QueueOrder } from '../shares/QueueOrder.ts';
import type { AdmittedRequest } from './QueueAdmission.ts';

/**
 * Gets the comparator of queued requests for an order.
 *
 * @param order - The order.
 * @param footprintOf - Gets the sort key of a request within its team.
 * @param now - Present time, for which the comparator holds.
 * @returns The comparator; it converts each request only once.
 */
export function orderComparator<T extends AdmittedRequest>(
  order: QueueOrder,
  footprintOf: (entry: T) => number,
  now: Millis,
): (a: T, b: T) => number {
  const converted = new Map<T, OrderedEntry>();
  const toOrdered = (entry: T): OrderedEntry => {
    const known = converted.get(entry);
    if (known !== undefined) return known;
    const { team, priority, queuedAt, lateAt, returnStatus } = entry;
    const times = { submittedAt: queuedAt, lateAt, returnStatus };
    const ordered = { team, priority, ...times, footprint: footprintOf(entry) };
    converted.set(entry, ordered);
    return ordered;
  };
  return (a, b) => order.compare(toOrdered(a), toOrdered(b), now);
}
