import type { Clock, Millis, RequestId } from '@camphorvane/core';
import { mayHaveCrashed } from '@camphorvane/upstream';
import type { DecodeEvent, UpstreamError } from '@camphorvane/upstream';
import { streamStopped, streamTruncated, unconfirmedEnd } from './attemptEnds.ts';
import type { EngineRun } from './EngineRun.ts';
import type { StopOrders, StopOutcome } from './StopOrders.ts';

/** The end of a stream. */
export type DoneEvent = Extract<DecodeEvent, { readonly type: 'done' }>;

/** Options of {@link StreamEnds}. */
export interface StreamEndsOptions {
  readonly id: RequestId;
  /** Time at which the request has ended at the latest. */
  readonly until: Millis;
  readonly clock: Clock;
  readonly stops: StopOrders;
}

/**
 * Tells the end of a stream from the end of one of its runs.
 *
 * A close alone does not tell the end from a stop, nor from the loss of an engine before its first event; a stream
 * that was broken off would pass for a complete one.
 */
export class StreamEnds {
  private readonly options: StreamEndsOptions;

  /** An end that may be a stop, until the order to stop the run has a response. */
  private held: { readonly run: EngineRun; readonly event: DoneEvent } | undefined;

  /** @param options - The request, and the orders to stop its runs. */
  constructor(options: StreamEndsOptions) {
    this.options = options;
  }

  /**
   * Records that the engine of a run is asked to stop it.
   *
   * @param run - The run.
   * @param onConfirmed - Called with the end of the run if its engine refuses the order after it.
   * @returns Called with the outcome of the order.
   */
  beginStop(
    run: EngineRun,
    onConfirmed: (event: DoneEvent) => void,
  ): (outcome: StopOutcome) => void {
    const { id, until, clock, stops } = this.options;
    const order = { id, engine: run.getEngine(), until };
    stops.add(order, clock.now());
    return (outcome) => {
      if (outcome === 'unknown') return;
      stops.settle(order);
      if (outcome === 'carried_out') run.recordStop();
      if (outcome === 'undelivered') run.recordUnreachable();
      const isConfirmed = outcome === 'refused' && !this.mayBeStopped(run);
      if (isConfirmed && this.held?.run === run) onConfirmed(this.held.event);
    };
  }

  /**
   * Checks whether the orderly end of a run is the end of its stream.
   *
   * @param run - The run.
   * @param event - Its end.
   * @param stream - Whether all output that the request allows has arrived, and whether the run took the stream up
   *   from another one.
   * @returns What the end is instead; undefined where the stream is complete.
   */
  check(
    run: EngineRun,
    event: DoneEvent,
    stream: { readonly hasAllOutput: boolean; readonly isResumed: boolean },
  ): UpstreamError | undefined {
    switch (event.ending) {
      case 'marked':
        return undefined;
      case 'closed':
        if (stream.hasAllOutput) return undefined;
        if (this.mayBeStopped(run)) {
          this.held = { run, event };
          return streamStopped();
        }
        if (run.mayBeLost()) return streamTruncated();
        return stream.isResumed && !run.hasEvents() ? unconfirmedEnd() : undefined;
      default:
        return event.ending satisfies never;
    }
  }

  /** Gets the error of a run that broke off; an engine that obeyed an order to stop it has not crashed. */
  explain(run: EngineRun, error: UpstreamError): UpstreamError {
    return mayHaveCrashed(error) && this.mayBeStopped(run) ? streamStopped() : error;
  }

  private mayBeStopped(run: EngineRun): boolean {
    const { id, stops } = this.options;
    return run.wasStopped() || stops.isOutstanding(id, run.getEngine());
  }
}
