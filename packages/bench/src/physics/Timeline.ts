import type { Millis } from '@camphorvane/core';
import { IndexedHeap } from '@camphorvane/decisions';

type Event = () => void;

/** Virtual time of a run: events in order of time, then in order of their making. */
export class Timeline {
  private readonly events = new IndexedHeap<Event>();

  private time: Millis = 0;

  /** Gets the present time in milliseconds. */
  get now(): Millis {
    return this.time;
  }

  /** Runs a function at a time; each call needs a function of its own. */
  at(time: Millis, run: Event): void {
    this.events.set(run, Math.max(this.time, time));
  }

  /** Runs a function after a span. */
  after(span: Millis, run: Event): void {
    this.at(this.time + span, run);
  }

  /** Runs all events until none is left or the predicate says stop. */
  run(stop: () => boolean): void {
    let event = this.events.peek();
    while (event !== undefined && !stop()) {
      this.time = this.events.peekKey() ?? this.time;
      this.events.delete(event);
      event();
      event = this.events.peek();
    }
  }
}
