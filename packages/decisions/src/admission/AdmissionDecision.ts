import type { Millis, Refusal, RequestId, TeamId } from '@camphorvane/core';
import type { ReturnStatus } from '../turns/TurnScheduler.ts';

/** Decision on a request that would have to wait. */
export type AdmissionDecision =
  { readonly type: 'queue' } | { readonly type: 'refuse'; readonly refusal: Refusal };

/** Whether a request was refused on arrival or after it had been queued. */
export type AdmissionStage = 'arrival' | 'queued';

/** What admission reports for logs and metrics. */
export type AdmissionEvent =
  | {
      readonly type: 'refused';
      readonly request: RequestId;
      readonly team: TeamId;
      readonly stage: AdmissionStage;
      /** Expected wait in milliseconds. */
      readonly waitMs: Millis;
      /** Milliseconds until the request is late; negative where it is. */
      readonly leftMs: Millis;
      /** Drain rate in units per millisecond; undefined while nothing is known of it. */
      readonly drainPerMs: number | undefined;
      /** Milliseconds of measurement that the drain rate rests on; the prior counts for the rest. */
      readonly measuredMs: Millis;
      /** Queued units. */
      readonly backlog: number;
      /** Factor by which estimates are corrected. */
      readonly correction: number;
      readonly retryAfterMs: Millis;
    }
  | {
      /** Capacity was free and nothing was queued before the expected wait of refused requests had passed. */
      readonly type: 'refused_while_idle';
      readonly count: number;
    };

/** Times of a request that is to wait. */
export interface AdmissionTimes {
  /** Time from which a start makes the request late. */
  readonly lateAt: Millis;
  /** Time at which the request is given up. */
  readonly giveUpAt: Millis;
  readonly returnStatus: ReturnStatus;
}

/** Expected waits of a request. */
export interface ExpectedWaits {
  /** Expected wait in queue order. */
  readonly waitMs: Millis;
  /**
   * Expected wait behind all requests that can be on time, queued now or arriving meanwhile; infinite where
   * these need all capacity.
   */
  readonly lateWaitMs: Millis;
}

/**
 * A request is refused only if its expected wait exceeds the time left by this factor: a wrong refusal
 * costs its caller more than a short wait.
 */
const TIME_LEFT_FACTOR = 1.25;

/**
 * Tells whether a request may wait.
 *
 * Load: demand beyond the capacity, for seconds. Without this decision, requests are held until their
 * deadline passes, and capacity goes to requests that are late. One that can start on time may wait. One
 * that can't may wait only for capacity that no request needs which can be on time. A caller that returns
 * in its turn was told when there would be capacity for it, so it may use it although it is late.
 *
 * @param times - Times of the request.
 * @param waits - Its expected waits.
 * @param now - Present time.
 * @returns Whether it may wait.
 */
export function mayWait(
  { lateAt, giveUpAt, returnStatus }: AdmissionTimes,
  { waitMs, lateWaitMs }: ExpectedWaits,
  now: Millis,
): boolean {
  const startBy = Math.min(lateAt, giveUpAt);
  if (startBy > now && canStartInTime(waitMs, startBy - now)) return true;
  if (returnStatus === 'in_turn' && waitMs <= giveUpAt - now) return true;
  return lateWaitMs <= giveUpAt - now;
}

/**
 * Tells whether a request of a queue without late requests may wait.
 *
 * @param waitMs - Expected wait.
 * @param leftMs - Milliseconds until it is given up.
 * @returns Whether it may wait.
 */
export function canStartInTime(waitMs: Millis, leftMs: Millis): boolean {
  return waitMs <= leftMs * TIME_LEFT_FACTOR;
}
