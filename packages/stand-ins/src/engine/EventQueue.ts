/** An unbounded queue from a synchronous producer to a single async consumer. */
export class EventQueue<T> implements AsyncIterableIterator<T> {
  private readonly items: T[] = [];

  private ended = false;

  private wakeConsumer: (() => void) | undefined;

  /** @param onReturn - Called if the consumer stops iterating before the end. */
  constructor(private readonly onReturn: () => void = () => undefined) {}

  /** Adds an event; ignored after {@link end}. */
  push(item: T): void {
    if (this.ended) return;
    this.items.push(item);
    this.wakeConsumer?.();
  }

  /** Ends the iteration after all queued events have been consumed. */
  end(): void {
    this.ended = true;
    this.wakeConsumer?.();
  }

  /** Gets the next event; waits while the queue is empty. */
  async next(): Promise<IteratorResult<T>> {
    while (this.items.length === 0 && !this.ended) {
      await new Promise<void>((resolve) => {
        this.wakeConsumer = resolve;
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
