import type { Millis, ModelId, RequestId, ServiceId, TeamId, Tokens } from '@camphorvane/core';
import type { ResourceId } from '@camphorvane/decisions';
import { callsOf, memoryOf, streamsOf } from '@camphorvane/decisions';

/** A queue of this host: the calls of a plain service, or the streams of a pool. */
export type SharedQueue =
  | { readonly type: 'service'; readonly id: ServiceId }
  | { readonly type: 'pool'; readonly id: ModelId };

/** A request that begins to wait in a queue. */
export interface EnteredWork {
  readonly request: RequestId;
  readonly queue: SharedQueue;
  readonly team: TeamId;
  /** Lower goes first; absent where neither the route nor the team has one. */
  readonly priority?: number;
  /** Time from which the request is late; absent if it never is. */
  readonly lateAt?: Millis;
}

/** A call in flight to a plain service. */
export interface HeldCall {
  readonly type: 'call';
  readonly request: RequestId;
  readonly service: ServiceId;
  readonly team: TeamId;
  readonly priority?: number;
}

/** A running stream with the memory that it holds on average. */
export interface HeldStream {
  readonly type: 'stream';
  readonly request: RequestId;
  readonly model: ModelId;
  readonly team: TeamId;
  readonly priority: number;
  readonly memoryTokens: Tokens;
}

/** What a placed request holds. */
export type HeldWork = HeldCall | HeldStream;

/** An amount of a resource. */
export type HeldAmount = readonly [queue: ResourceId, amount: number];

/** Gets the name of a queue in the log and the state dump. */
export function queueName({ type, id }: SharedQueue): string {
  return `${type} ${id}`;
}

/** Gets the queue that a placed request came from. */
export function queueOf(work: HeldWork): SharedQueue {
  switch (work.type) {
    case 'call':
      return { type: 'service', id: work.service };
    case 'stream':
      return { type: 'pool', id: work.model };
    default:
      return work satisfies never;
  }
}

/** Gets what a placed request holds, in whole units so that sums return to zero. */
export function amountsOf(work: HeldWork): readonly HeldAmount[] {
  switch (work.type) {
    case 'call':
      return [[callsOf(work.service), 1]];
    case 'stream':
      return [
        [memoryOf(work.model), Math.round(work.memoryTokens)],
        [streamsOf(work.model), 1],
      ];
    default:
      return work satisfies never;
  }
}
