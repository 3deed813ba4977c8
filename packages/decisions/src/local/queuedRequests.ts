import type { Millis, Refusal, RequestId, TeamId } from '@camphorvane/core';
import type { CallerTimes } from '../admission/CallerTimes.ts';
import type { AdmittedRequest } from '../admission/QueueAdmission.ts';
import type { PlacementRequest } from './LocalPlacement.ts';
import type { EnginePair } from './pairChoice.ts';

/** A request that waits for engines. */
export interface QueuedRequest extends PlacementRequest {
  readonly request: RequestId;
  readonly team: TeamId;
  /** Lower goes first. */
  readonly priority: number;
  /** Memory footprint: memory times the output tokens for which it is held. */
  readonly memorySteps: number;
  /** Time at which the request was submitted. */
  readonly submittedAt: Millis;
  /** Time after which the first token can't meet its target any more. */
  readonly lateAt: Millis;
  /** Time at which the request is refused unless it was placed before. */
  readonly giveUpAt: Millis;
  /** What is known of the caller's wait; absent where nothing is. */
  readonly callerTimes?: CallerTimes;
}

/** A waiting request with the rank of its memory footprint. */
export interface RankedRequest extends QueuedRequest, AdmittedRequest {
  /** Fraction of the recent requests with a smaller footprint. */
  readonly rank: number;
}

/** What a request waits for: memory (`room`), a free prefill engine (`reading`) or earlier requests. */
export type WaitReason = 'room' | 'reading' | 'turn';

/** A decision of the queue on one request. */
export type QueueDecision =
  | {
      readonly type: 'place';
      readonly request: RequestId;
      readonly pair: EnginePair;
      /** What the request waited for last; undefined where it did not wait. */
      readonly waitReason: WaitReason | undefined;
      /** Wait that was expected on arrival; undefined where none was estimated. */
      readonly expectedMs?: Millis;
    }
  | { readonly type: 'refuse'; readonly request: RequestId; readonly refusal: Refusal };

/**
 * Fraction of its time to the target for which the request with the largest footprint yields to others.
 * In the remaining time it yields no more, so that under overload large requests are served less often,
 * but are not starved.
 */
export const YIELD_FRACTION = 0.8;

/** Sort key by footprint, lower first; it falls with the time waited, so that no request is starved. */
export function footprintKey(req: RankedRequest, now: Millis): number {
  return req.rank * YIELD_FRACTION - waitedFraction(req, now);
}

/** Gets which fraction of the time from submission to the target has passed. */
export function waitedFraction({ submittedAt, lateAt }: QueuedRequest, now: Millis): number {
  return (now - submittedAt) / Math.max(1, lateAt - submittedAt);
}
