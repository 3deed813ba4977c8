/** Recent requests that a rank is computed from; its sampling error is then about a twentieth. */
const COMPARED_REQUESTS = 100;

/** Requests that must have been recorded before any is ranked. */
const MIN_RECORDED = 16;

/** Ranks requests by memory footprint among the recent ones of their pool. */
export class FootprintRanks {
  private recent: readonly number[] = [];

  /**
   * Records a request.
   *
   * @param memorySteps - Its footprint: memory times the output tokens for which it is held.
   */
  record(memorySteps: number): void {
    this.recent = [...this.recent.slice(1 - COMPARED_REQUESTS), memorySteps];
  }

  /**
   * Gets the fraction of the recent requests that have a smaller footprint.
   *
   * @param memorySteps - Footprint of the request.
   * @returns A fraction from 0 to 1; 0 while too few requests were recorded.
   */
  rankOf(memorySteps: number): number {
    if (this.recent.length < MIN_RECORDED) return 0;
    return this.recent.filter((other) => other < memorySteps).length / this.recent.length;
  }
}
