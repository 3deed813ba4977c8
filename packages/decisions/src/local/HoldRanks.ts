/** Requests with which one is compared: enough that chance moves a rank by a twentieth. */
const COMPARED = 100;

/** Requests that must have been seen before one is ranked. */
const LEAST_SEEN = 16;

/** Tells how much a request takes from the others, compared with what was asked lately. */
export class HoldRanks {
  private seen: readonly number[] = [];

  /** Takes in a request by what it holds: its memory times how long. */
  note(memorySteps: number): void {
    this.seen = [...this.seen.slice(1 - COMPARED), memorySteps];
  }

  /** Gets the part of the requests that hold less; nothing while too few were seen. */
  rankOf(memorySteps: number): number {
    if (this.seen.length < LEAST_SEEN) return 0;
    return this.seen.filter((other) => other < memorySteps).length / this.seen.length;
  }
}
