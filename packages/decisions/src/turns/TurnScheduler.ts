import type { Millis, TeamId } from '@camphorvane/core';

/** A refused request whose caller is told when to retry. */
export interface TurnRequest {
  readonly team: TeamId;
  /** Lower goes first. */
  readonly priority: number;
  /** Capacity that the request needs, in the unit of the queue: calls, streams or tokens. */
  readonly units: number;
  /** Milliseconds that the caller will still wait. */
  readonly leftMs: Millis;
  /** Latency target of the route, in milliseconds. */
  readonly targetMs: Millis;
}

/** How fast a queue drains on this host. */
export interface DrainState {
  /** Units that leave the queue per millisecond. */
  readonly drainPerMs: number;
  /** Milliseconds until the present backlog has drained. */
  readonly backlogMs: Millis;
}

/**
 * The retry time that a refused caller is told. A booked turn reserves capacity at that time; without one,
 * the time only says when there will be capacity.
 */
export type TurnOffer =
  | { readonly type: 'turn'; readonly retryAfterMs: Millis }
  | { readonly type: 'no_turn'; readonly retryAfterMs: Millis };

/** Whether a request is a caller's first attempt, a retry before its turn, or a retry in its turn. */
export type ReturnStatus = 'new' | 'early' | 'in_turn';

/** Schedules the retries of refused callers of one queue. */
export interface TurnScheduler {
  /**
   * Gives a refused caller a time to retry.
   *
   * @param req - The refused request.
   * @param drain - How fast the queue drains.
   * @param now - Present time.
   * @returns The retry time, and whether capacity is booked for it.
   */
  grant(req: TurnRequest, drain: DrainState, now: Millis): TurnOffer;

  /**
   * Classifies a request by its age.
   *
   * @param ageMs - Milliseconds since its caller first sent it; 0 for an apparent first attempt.
   * @param priority - Its priority.
   * @param now - Present time.
   */
  statusOf(ageMs: Millis, priority: number, now: Millis): ReturnStatus;
}
