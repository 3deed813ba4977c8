import type { RequestId } from '@camphorvane/core';
import { eventLog } from './EventLog.ts';
import type { Metrics } from './Metrics.ts';

const log = eventLog('request');

/** An answer that its caller has not taken as a whole. */
export interface UndeliveredAnswer {
  /** Id of the request; undefined where it has none. */
  readonly id: RequestId | undefined;
  /** Whether all of it was written. */
  readonly hasEnded: boolean;
  /** Bytes that wait in this process for the caller to read, at most; undefined once its connection is closed. */
  readonly leftBytes: number | undefined;
}

/** What callers have not taken of the answers of a host. */
export interface DeliverySummary {
  /** Number of answers that callers have not taken as a whole. */
  readonly undelivered: number;
  /** Bytes of them that wait in this process, at most. */
  readonly undeliveredBytes: number;
}

/** Logs and counts answers that have ended and that their callers have not taken as a whole. */
export class DeliveryLog {
  private readonly metrics: Metrics;

  private readonly isStopping: () => boolean;

  /**
   * @param metrics - Counts the answers.
   * @param isStopping - Tells whether this host is stopping, which may have cut an answer.
   */
  constructor(metrics: Metrics, isStopping: () => boolean) {
    this.metrics = metrics;
    this.isStopping = isStopping;
  }

  /** Records an answer that was ended, and whose connection closed before the caller had taken it. */
  recordUndelivered({ id, leftBytes }: Omit<UndeliveredAnswer, 'hasEnded'>): void {
    const stage = this.isStopping() ? 'stopping' : 'serving';
    this.metrics.count('answer.undelivered', { stage });
    log('answer_undelivered', { id, stage, leftBytes });
  }
}

/**
 * Sums up what callers have not taken.
 *
 * @param answers - The answers that are open.
 */
export function summarizeDelivery(answers: readonly UndeliveredAnswer[]): DeliverySummary {
  const ended = answers.filter(({ hasEnded }) => hasEnded);
  return {
    undelivered: ended.length,
    undeliveredBytes: ended.reduce((sum, { leftBytes }) => sum + (leftBytes ?? 0), 0),
  };
}
