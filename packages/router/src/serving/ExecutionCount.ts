/** Counts the upstreams that may have run a request, over all hosts that it passes. */
export class ExecutionCount {
  private count: number;

  /** @param before - Upstreams that may have run it before it came to this host. */
  constructor(before = 0) {
    this.count = before;
  }

  /** Records that an upstream failed after it may have begun to run the request. */
  record(): void {
    this.count += 1;
  }

  /** Gets the count. */
  get(): number {
    return this.count;
  }
}
