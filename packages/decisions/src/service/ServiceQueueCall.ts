import type { Millis, Refusal, RequestId, TeamId, UpstreamId, WorkClass } from '@camphorvane/core';
import type { CallerTimes } from '../admission/CallerTimes.ts';

/** A call to be dispatched to a server. */
export interface ServiceQueueCall {
  readonly request: RequestId;
  readonly team: TeamId;
  readonly class: WorkClass;
  /** Longest time in the queue, in milliseconds. */
  readonly maxWaitMs: Millis;
  /** Time from which a dispatch would make the answer late; absent if it never would. */
  readonly lateAt?: Millis;
  /** Servers not to choose, since this call has failed on them. */
  readonly avoid: readonly UpstreamId[];
  /** Priority from the configuration, lower goes first; absent where only the class counts. */
  readonly priority?: number;
  /** What is known of the caller's wait; absent where nothing is. */
  readonly callerTimes?: CallerTimes;
  /** Called at the placement, so that the order of the next one takes it into account. */
  readonly onPlaced?: () => void;
}

/** The decision for a queued call. */
export type ServiceQueueDecision =
  | {
      readonly type: 'place';
      readonly request: RequestId;
      readonly server: UpstreamId;
      readonly waitedMs: Millis;
      /** Wait that was expected on arrival; undefined where none was estimated. */
      readonly expectedMs?: Millis;
    }
  | { readonly type: 'refuse'; readonly request: RequestId; readonly refusal: Refusal };
