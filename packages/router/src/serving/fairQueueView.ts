import type { Millis, TeamId } from '@camphorvane/core';
import type { FairOrder, ResourceCapacity, TeamUsage, WaitingEntry } from '@camphorvane/decisions';
import type { Holding } from './Holdings.ts';

/** Most rows of a list in the state dump; the largest ones are shown. */
const MAX_ROWS = 50;

/** Waiting requests of a team with one priority. */
interface WaitingRow {
  readonly team: TeamId;
  readonly priority: number;
  readonly requests: number;
  readonly late: number;
  readonly longestMs: Millis;
}

/** What a team holds of a resource on this host and on its peers. */
interface ShareRow {
  readonly team: TeamId;
  /** Amount held on this host and on its peers, by resource. */
  readonly held: Readonly<Record<string, readonly [own: number, peers: number]>>;
  /** Dominant share. */
  readonly share: number;
}

/** Who waits in a queue and who holds what, by team and priority. */
export interface QueueView {
  readonly waiting: readonly WaitingRow[];
  readonly holding: readonly Holding[];
  readonly shares: readonly ShareRow[];
}

/**
 * Gets the view of one queue that the state dump shows.
 *
 * @param order - Order of the queue, with its waiting requests.
 * @param usage - What teams hold on all hosts.
 * @param resources - Resources of the queue.
 * @param holdings - What placed requests of this host hold.
 * @param now - Present time.
 * @returns Rows of the largest teams.
 */
export function fairQueueView(
  order: FairOrder,
  usage: TeamUsage,
  resources: readonly ResourceCapacity[],
  holdings: readonly Holding[],
  now: Millis,
): QueueView {
  const teams = new Set(resources.flatMap(({ queue }) => usage.teamsOf(queue, now)));
  const shares = [...teams].map((team): ShareRow => ({
    team,
    held: Object.fromEntries(
      resources.map(({ queue }) => [
        queue,
        [usage.heldHere(team, queue), usage.heldByPeers(team, queue, now)] as const,
      ]),
    ),
    share: Math.round(order.shareOf(team, now) * 1_000) / 1_000,
  }));
  return {
    waiting: largest(waitingRows(order.getWaiting(), now), ({ requests }) => requests),
    holding: largest(holdings, ({ requests }) => requests),
    shares: largest(shares, ({ share }) => share),
  };
}

function waitingRows(entries: readonly WaitingEntry[], now: Millis): readonly WaitingRow[] {
  const rows = entries.reduce((sums, { team, priority, submittedAt, lateAt }) => {
    const key = `${priority} ${team}`;
    const row = sums.get(key) ?? { team, priority, requests: 0, late: 0, longestMs: 0 };
    return sums.set(key, {
      ...row,
      requests: row.requests + 1,
      late: row.late + Number(lateAt <= now),
      longestMs: Math.max(row.longestMs, Math.round(now - submittedAt)),
    });
  }, new Map<string, WaitingRow>());
  return [...rows.values()];
}

function largest<T>(rows: readonly T[], sizeOf: (row: T) => number): readonly T[] {
  return [...rows].sort((a, b) => sizeOf(b) - sizeOf(a)).slice(0, MAX_ROWS);
}
