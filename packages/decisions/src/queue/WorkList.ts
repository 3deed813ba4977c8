import type { Tokens } from '@camphorvane/core';
import type { QueuedWork } from './QueuedWork.ts';

/** The waiting requests of one team and class in order of arrival: a linked list, for removal in O(1). */
export class WorkList {
  private first: QueuedWork | undefined;

  private last: QueuedWork | undefined;

  private count = 0;

  private tokens: Tokens = 0;

  /** Gets the number of waiting requests. */
  get size(): number {
    return this.count;
  }

  /** Gets the cost of all waiting requests, in tokens. */
  get cost(): Tokens {
    return this.tokens;
  }

  /** Gets the request that has waited longest; undefined for an empty list. */
  get head(): QueuedWork | undefined {
    return this.first;
  }

  /** Gets the request that was added last; undefined for an empty list. */
  get tail(): QueuedWork | undefined {
    return this.last;
  }

  /** Appends a request. */
  push(work: QueuedWork): void {
    const added = work;
    added.previous = this.last;
    added.next = undefined;
    if (this.last === undefined) this.first = added;
    else this.last.next = added;
    this.last = added;
    this.count += 1;
    this.tokens += added.cost;
  }

  /** Removes a request, which must be in this list. */
  remove(work: QueuedWork): void {
    const removed = work;
    if (removed.previous === undefined) this.first = removed.next;
    else removed.previous.next = removed.next;
    if (removed.next === undefined) this.last = removed.previous;
    else removed.next.previous = removed.previous;
    removed.previous = undefined;
    removed.next = undefined;
    this.count -= 1;
    this.tokens -= removed.cost;
  }
}
