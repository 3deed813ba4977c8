/** Carries events from a producer that never waits to one consumer that iterates. */
export class EventQueue<T> implements AsyncIterableIterator<T> {
  private readonly items: T[] = [];

  private ended = false;

  private wake: (() => void) | undefined;

  /** @param onReturn - Runs when the consumer stops before the end. */
  constructor(private readonly onReturn: () => void = () => undefined) {}

  /** Adds an event; ignored after {@link end}. */
  push(item: T): void {
    if (this.ended) return;
    this.items.push(item);
    this.wake?.();
  }

  /** Ends the iteration once all events have been taken. */
  end(): void {
    this.ended = true;
    this.wake?.();
  }

  /** Gets the next event, waiting for it if there is none yet. */
  async next(): Promise<IteratorResult<T>> {
    while (this.items.length === 0 && !this.ended) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    const value = this.items.shift();
    return value === undefined ? { done: true, value: undefined } : { done: false, value };
  }

  /** Stops the iteration from the consumer's side. */
  return(): Promise<IteratorResult<T>> {
    this.end();
    this.onReturn();
    return Promise.resolve({ done: true, value: undefined });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }
}
