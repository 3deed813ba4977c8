import type { Clock, UpstreamId } from '@camphorvane/core';
import type { EarlierArrivals } from '@camphorvane/decisions';
import { RequestArrivals } from '@camphorvane/decisions';
import type { RetryGate, RetryTarget, UnchargedArrival } from '../host/ports.ts';

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

  /** Records the first attempt, with the upstreams that it uses; none where another host has sent the request. */
  recordAttempt(upstreams: readonly UpstreamId[]): void {
    if (this.arrivals.hasArrived()) return;
    this.gate.recordAttempt(this.request, upstreams, this.clock.now());
  }

  /**
   * Charges the retry that a further run of the request is, unless it is the first arrival or charged already.
   *
   * @param upstream - Upstream on which the last attempt failed.
   * @returns False where the budget is spent.
   */
  tryRun(upstream: UpstreamId): boolean {
    if (this.arrivals.retriesFor('run') === 0) return true;
    const isCharged = this.gate.tryRetry({ ...this.request, upstream }, this.clock.now());
    if (isCharged) this.arrivals.recordCharge(1);
    return isCharged;
  }

  /**
   * Charges the retry that a further prefill of a prompt is which was read before.
   *
   * @param upstream - Upstream that is to read it.
   * @returns False where the budget is spent.
   */
  tryPrefill(upstream: UpstreamId): boolean {
    if (this.arrivals.retriesFor('prefill_and_run') === 0) return true;
    const isCharged = this.gate.tryPrefill({ ...this.request, upstream }, this.clock.now());
    if (isCharged) this.arrivals.recordCharge(1);
    return isCharged;
  }

  /** Tells whether an upstream has read the prompt for another one. */
  isPromptRead(): boolean {
    return this.arrivals.getEarlier().isPromptRead;
  }

  /** Records that the request is sent to an upstream that runs it. */
  recordRun(): void {
    if (!this.arrivals.recordRun()) this.recordUncharged('run');
  }

  /** Records that another host has sent the request to an upstream. */
  recordElsewhere(): void {
    this.arrivals.recordRun();
  }

  /** Gets the arrivals for another host that is to send the request; undefined where there are none. */
  getEarlier(): EarlierArrivals | undefined {
    return this.arrivals.hasArrived() ? this.arrivals.getEarlier() : undefined;
  }

  /** Withdraws the last run, since it did not reach the upstream. */
  withdrawRun(): void {
    this.arrivals.withdrawRun();
  }

  /** Records that the request has arrived at an upstream that reads its prompt, and whether it has read it. */
  recordPrefill(isAccepted: boolean): void {
    if (!this.arrivals.recordPrefill(isAccepted)) this.recordUncharged('prefill');
  }

  private recordUncharged(arrival: UnchargedArrival): void {
    this.gate.recordUncharged(this.request.service, arrival, this.clock.now());
    this.arrivals.recordCharge(1);
  }
}
