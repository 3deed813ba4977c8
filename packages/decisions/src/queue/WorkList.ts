import type { Tokens } from '@camphorvane/core';
import type { QueuedWork } from './QueuedWork.ts';

/** The waiting requests of one team and class, in order of arrival; removal costs no search. */
export class WorkList {
  private first: QueuedWork | undefined;

  private last: QueuedWork | undefined;

  private count = 0;

  private tokens: Tokens = 0;

  /** Gets the number of waiting requests. */
  get size(): number {
    return this.count;
  }

  /** Gets the tokens that the waiting requests cost together. */
  get cost(): Tokens {
    return this.tokens;
  }

  /** Gets the request that has waited longest, if there is any. */
  get head(): QueuedWork | undefined {
    return this.first;
  }

  /** Puts a request at the end. */
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

  /** Takes out a request that is in this list. */
  remove(work: QueuedWork): void {
    const gone = work;
    if (gone.previous === undefined) this.first = gone.next;
    else gone.previous.next = gone.next;
    if (gone.next === undefined) this.last = gone.previous;
    else gone.next.previous = gone.previous;
    gone.previous = undefined;
    gone.next = undefined;
    this.count -= 1;
    this.tokens -= gone.cost;
  }
}
