import type { Millis, RequestId, UpstreamId } from '@camphorvane/core';

/** An order to an engine to stop the run of a request. */
export interface StopOrder {
  readonly id: RequestId;
  readonly engine: UpstreamId;
  /** Time at which the request has ended at the latest. */
  readonly until: Millis;
}

/**
 * What became of an order: `refused` where the engine goes on with the run or has ended it, `undelivered` where the
 * process that ran it can't be reached, `unknown` without a response that says so.
 */
export type StopOutcome = 'carried_out' | 'refused' | 'undelivered' | 'unknown';

/**
 * Orders to stop a run that may still be carried out.
 *
 * An order without a response may be carried out seconds later. Engines know a run by the id of its request, so
 * that it also stops a run that came back to the engine, by a move or by another attempt.
 */
export class StopOrders {
  private readonly orders = new Set<StopOrder>();

  /**
   * Adds an order that is being sent.
   *
   * @param order - The order.
   * @param now - Present time.
   */
  add(order: StopOrder, now: Millis): void {
    this.orders.forEach((one) => {
      if (one.until <= now) this.orders.delete(one);
    });
    this.orders.add(order);
  }

  /** Removes an order that will not be carried out any more. */
  settle(order: StopOrder): void {
    this.orders.delete(order);
  }

  /**
   * Tells whether an order may still stop a run.
   *
   * @param id - The request.
   * @param engine - The engine that runs it; any where absent.
   */
  isOutstanding(id: RequestId, engine?: UpstreamId): boolean {
    return [...this.orders].some(
      (order) => order.id === id && (engine === undefined || order.engine === engine),
    );
  }
}
