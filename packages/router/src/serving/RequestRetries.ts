import type { Clock, UpstreamId } from '@camphorvane/core';
import { RequestArrivals } from '@camphorvane/decisions';
import type { RetryGate, RetryTarget } from '../host/ports.ts';

/** Charges the retries of one request, and counts its arrivals at upstreams. */
export class RequestRetries {
  private readonly gate: RetryGate;

  private readonly clock: Clock;

  private readonly request: Omit<RetryTarget, 'upstream'>;

  private readonly arrivals: RequestArrivals;

  /**
   * @param budget - The retry budget and its clock.
   * @param request - Team and service of the request.
   * @param arrivals - Arrivals of the request, where another host has sent it before.
   */
  constructor(
    { retryGate, clock }: { readonly retryGate: RetryGate; readonly clock: Clock },
    request: Omit<RetryTarget, 'upstream'>,
    arrivals = new RequestArrivals(),
  ) {
    this.gate = retryGate;
    this.clock = clock;
    this.request = request;
    this.arrivals = arrivals;
  }

  /** Records the first attempt, with the upstreams that it uses. */
  recordAttempt(upstreams: readonly UpstreamId[]): void {
    this.gate.recordAttempt(this.request, upstreams, this.clock.now());
  }

  /**
   * Charges one retry.
   *
   * @param upstream - Upstream on which the last attempt failed.
   * @returns False where the budget is spent.
   */
  tryRetry(upstream: UpstreamId): boolean {
    const isCharged = this.gate.tryRetry({ ...this.request, upstream }, this.clock.now());
    if (isCharged) this.arrivals.recordCharge(1);
    return isCharged;
  }

  /** Records that the request is sent to an upstream that runs it. */
  recordRun(): void {
    if (!this.arrivals.recordRun()) this.gate.recordUncharged(this.request.service, 'run');
  }

  /** Withdraws the last run, since it did not reach the upstream. */
  withdrawRun(): void {
    this.arrivals.withdrawRun();
  }

  /** Records that the request has arrived at an upstream that reads its prompt, and whether it has read it. */
  recordPrefill(isAccepted: boolean): void {
    if (!this.arrivals.recordPrefill(isAccepted))
      this.gate.recordUncharged(this.request.service, 'prefill');
  }
}
