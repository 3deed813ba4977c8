/** How a request is sent once more: to an upstream that runs it, or to one that reads its prompt for the next one. */
export type SendingWay = 'run' | 'prefill_and_run';

/** Arrivals of a request at upstreams that other hosts have sent it to. */
export interface EarlierArrivals {
  readonly count: number;
  /** Whether an upstream has read its prompt for another one. */
  readonly isPromptRead: boolean;
}

const NO_ARRIVALS: EarlierArrivals = { count: 0, isPromptRead: false };

/**
 * Counts the arrivals of one request at upstreams, and the retries that were charged for them.
 *
 * The first arrival is the request itself, and each further one is a retry, also where the upstream rejects it. The
 * first prefill that an upstream accepts is part of the run that follows, and does not count.
 */
export class RequestArrivals {
  private count: number;

  private isPromptRead: boolean;

  private charged: number;

  /** @param earlier - Arrivals before the request came to this host; they and the next run are charged. */
  constructor(earlier: EarlierArrivals = NO_ARRIVALS) {
    this.count = earlier.count;
    this.isPromptRead = earlier.isPromptRead;
    this.charged = earlier.count;
  }

  /** Tells whether the request has arrived at any upstream. */
  hasArrived(): boolean {
    return this.count > 0 || this.isPromptRead;
  }

  /**
   * Records that the request is sent to an upstream that runs it.
   *
   * @returns Whether it is the first arrival, or one that was charged.
   */
  recordRun(): boolean {
    this.count += 1;
    return this.isCovered();
  }

  /** Withdraws the last run, since it did not reach the upstream. */
  withdrawRun(): void {
    this.count = Math.max(0, this.count - 1);
  }

  /**
   * Records that the request has arrived at an upstream that reads its prompt.
   *
   * @param isAccepted - Whether the upstream has read it.
   * @returns Whether it is the first arrival, or one that was charged.
   */
  recordPrefill(isAccepted: boolean): boolean {
    if (isAccepted && !this.isPromptRead) {
      this.isPromptRead = true;
      return true;
    }
    this.count += 1;
    return this.isCovered();
  }

  /** Records that retries of the request were charged. */
  recordCharge(retries: number): void {
    this.charged += retries;
  }

  /** Gets the retries to charge before the request is sent once more. */
  retriesFor(way: SendingWay): number {
    const prefills = way === 'prefill_and_run' && this.isPromptRead ? 1 : 0;
    return Math.max(0, this.count + prefills - this.charged);
  }

  /** Gets the arrivals for another host that is to send the request. */
  getEarlier(): EarlierArrivals {
    const { count, isPromptRead } = this;
    return { count, isPromptRead };
  }

  private isCovered(): boolean {
    return this.count <= 1 + this.charged;
  }
}
