import type { TeamId } from '@camphorvane/core';
import type { HeldWork } from './queuedWork.ts';
import { queueName, queueOf } from './queuedWork.ts';

/** What a team holds on this host with one priority. */
export interface Holding {
  readonly team: TeamId;
  readonly priority: number;
  /** Calls in flight or running streams. */
  readonly requests: number;
  /** Memory of the streams; 0 for calls. */
  readonly memoryTokens: number;
}

/** Counts what the placed requests of this host hold, by queue, team and priority. */
export class Holdings {
  private readonly queues = new Map<string, Map<string, Holding>>();

  /**
   * Adds or removes a placed request.
   *
   * @param work - The request.
   * @param priority - Its priority.
   * @param sign - 1 where it was placed, -1 where it has ended.
   */
  adjust(work: HeldWork, priority: number, sign: 1 | -1): void {
    const queue = queueName(queueOf(work));
    const rows = this.queues.get(queue) ?? new Map<string, Holding>();
    const key = `${priority} ${work.team}`;
    const before = rows.get(key);
    const memory = work.type === 'stream' ? Math.round(work.memoryTokens) : 0;
    const requests = (before?.requests ?? 0) + sign;
    const memoryTokens = (before?.memoryTokens ?? 0) + sign * memory;
    if (requests > 0) rows.set(key, { team: work.team, priority, requests, memoryTokens });
    else rows.delete(key);
    if (rows.size > 0) this.queues.set(queue, rows);
    else this.queues.delete(queue);
  }

  /** Gets what is held of a queue. */
  of(queue: string): readonly Holding[] {
    return [...(this.queues.get(queue)?.values() ?? [])];
  }

  /** Gets the queues of which something is held. */
  getQueues(): readonly string[] {
    return [...this.queues.keys()];
  }
}
