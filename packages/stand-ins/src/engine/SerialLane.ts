interface Waiter {
  readonly priority: number;
  readonly start: () => void;
}

/** Runs one task at a time, the lowest priority number first and else in order of arrival. */
export class SerialLane {
  private busy = false;

  private waiters: readonly Waiter[] = [];

  /** Gets how many tasks wait for their turn. */
  waiting(): number {
    return this.waiters.length;
  }

  /**
   * Runs a task when its turn comes.
   *
   * @param priority - Lower goes first.
   * @param task - Must notice an abort by itself; it is started even then, and returns at once.
   * @returns What the task returned.
   */
  async run<T>(priority: number, task: () => Promise<T>): Promise<T> {
    await this.turn(priority);
    try {
      return await task();
    } finally {
      this.next();
    }
  }

  private turn(priority: number): Promise<void> {
    if (!this.busy) {
      this.busy = true;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const before = this.waiters.filter((waiter) => waiter.priority <= priority);
      const after = this.waiters.filter((waiter) => waiter.priority > priority);
      this.waiters = [...before, { priority, start: resolve }, ...after];
    });
  }

  private next(): void {
    const [first, ...rest] = this.waiters;
    this.waiters = rest;
    if (first === undefined) this.busy = false;
    else first.start();
  }
}
