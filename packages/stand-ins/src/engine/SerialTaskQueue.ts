interface Waiter {
  readonly priority: number;
  readonly start: () => void;
}

/** Runs one task at a time: lowest priority number first, FIFO within a priority. */
export class SerialTaskQueue {
  private isRunning = false;

  private waiters: readonly Waiter[] = [];

  /** Gets the number of queued tasks. */
  queuedCount(): number {
    return this.waiters.length;
  }

  /**
   * Queues a task and runs it.
   *
   * @param priority - Lower numbers run first.
   * @param task - Is started even after an abort, so it must check for one and return at once.
   * @returns The result of the task.
   */
  async run<T>(priority: number, task: () => Promise<T>): Promise<T> {
    await this.acquire(priority);
    try {
      return await task();
    } finally {
      this.release();
    }
  }

  private acquire(priority: number): Promise<void> {
    if (!this.isRunning) {
      this.isRunning = true;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const ahead = this.waiters.filter((waiter) => waiter.priority <= priority);
      const behind = this.waiters.filter((waiter) => waiter.priority > priority);
      this.waiters = [...ahead, { priority, start: resolve }, ...behind];
    });
  }

  private release(): void {
    const [first, ...rest] = this.waiters;
    this.waiters = rest;
    if (first === undefined) this.isRunning = false;
    else first.start();
  }
}
