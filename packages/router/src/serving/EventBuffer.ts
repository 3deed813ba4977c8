/** A queue between the reader of a stream and its consumer. */
export class EventBuffer<T> {
  private readonly items: T[] = [];

  private isEnded = false;

  private isBounded = true;

  private wakeConsumer: () => void = () => undefined;

  private wakeReader: () => void = () => undefined;

  /** Adds an item; ignored after the end. */
  push(item: T): void {
    if (this.isEnded) return;
    this.items.push(item);
    this.wakeConsumer();
  }

  /** Ends the stream after the items that were pushed. */
  end(): void {
    this.isEnded = true;
    this.wakeConsumer();
    this.wakeReader();
  }

  /**
   * Sets whether the reader waits for the consumer. During a switch between engines it does not, as the
   * switch must not depend on how fast a caller reads.
   */
  setBounded(isBounded: boolean): void {
    this.isBounded = isBounded;
    if (!isBounded) this.wakeReader();
  }

  /** Waits until the consumer has taken all items; returns at once where the buffer is not bounded. */
  async waitForRoom(): Promise<void> {
    if (!this.isBounded || this.isEnded || this.items.length === 0) return;
    await new Promise<void>((resolve) => {
      this.wakeReader = resolve;
    });
  }

  /** Takes the next item; undefined after the last one. */
  async take(): Promise<T | undefined> {
    if (this.items.length === 0 && !this.isEnded) {
      await new Promise<void>((resolve) => {
        this.wakeConsumer = resolve;
      });
    }
    const item = this.items.shift();
    if (this.items.length === 0) this.wakeReader();
    return item;
  }
}
