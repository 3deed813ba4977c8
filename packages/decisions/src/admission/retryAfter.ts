import type { Millis } from '@camphorvane/core';
import type { DrainState, TurnRequest, TurnScheduler } from '../turns/TurnScheduler.ts';

/** Longest retry-after of a refusal for lack of capacity, in milliseconds. */
const MAX_RETRY_AFTER_MS: Millis = 60_000;

/**
 * Gets when a refused caller may retry: at its turn where retries are scheduled, or else once the present
 * backlog has drained.
 *
 * @param turns - Schedules the retries; undefined while that is off.
 * @param req - The refused request.
 * @param drain - How fast the queue drains.
 * @param minMs - Shortest retry-after, in milliseconds.
 * @param now - Present time.
 * @returns Whole milliseconds from now.
 */
export function retryAfter(
  turns: TurnScheduler | undefined,
  req: TurnRequest,
  drain: DrainState,
  minMs: Millis,
  now: Millis,
): Millis {
  const clamp = (ms: Millis): Millis =>
    Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(minMs, ms)));
  const backlogMs = clamp(drain.backlogMs);
  if (turns === undefined) return backlogMs;
  return clamp(turns.grant(req, { ...drain, backlogMs }, now).retryAfterMs);
}
