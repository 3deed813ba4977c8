import type { HostId, Millis } from '@camphorvane/core';
import type { UsageRow } from '@camphorvane/decisions';
import {
  MAX_USAGE_ROWS,
  rankUsage,
  roundUsage,
  sumUsage,
  USAGE_REPORT_TTL_MS,
} from '@camphorvane/decisions';

interface UsageReport {
  readonly rows: readonly UsageRow[];
  readonly receivedAt: Millis;
}

/** Sums over the usage that hosts reported lately. */
export interface UsageSums {
  /** Sums of all hosts, largest first. */
  readonly ranked: readonly UsageRow[];
  /** Reports by host. */
  readonly byHost: ReadonlyMap<HostId, readonly UsageRow[]>;
}

/** Keeps the usage that each host reported last, from which a relay builds the sums of its digests. */
export class UsageReports {
  private readonly reports = new Map<HostId, UsageReport>();

  /** Stores the report of a host; a hint without one leaves the last report in force. */
  receive(host: HostId, rows: readonly UsageRow[] | undefined, now: Millis): void {
    if (rows !== undefined) this.reports.set(host, { rows, receivedAt: now });
  }

  /** Sums up the recent reports; undefined where no host reports usage. */
  aggregate(now: Millis): UsageSums | undefined {
    [...this.reports]
      .filter(([, { receivedAt }]) => now - receivedAt > USAGE_REPORT_TTL_MS)
      .forEach(([host]) => this.reports.delete(host));
    if (this.reports.size === 0) return undefined;
    const byHost = new Map([...this.reports].map(([host, { rows }]) => [host, rows]));
    return { ranked: rankUsage(sumUsage([...byHost.values()].flat())), byHost };
  }
}

/**
 * Gets the largest sums over all hosts but one.
 *
 * @param sums - The sums over all hosts.
 * @param receiver - The host to leave out.
 * @returns The largest rows; undefined where no host reports usage.
 */
export function usageWithout(
  sums: UsageSums | undefined,
  receiver: HostId,
): readonly UsageRow[] | undefined {
  if (sums === undefined) return undefined;
  const ownRows = sums.byHost.get(receiver) ?? [];
  const own = sumUsage(ownRows);
  // Only the receiver's rows become smaller, so the largest ones that are left are among these.
  const others = sums.ranked
    .slice(0, MAX_USAGE_ROWS + ownRows.length)
    .map(([team, queue, amount]): UsageRow => [
      team,
      queue,
      roundUsage(amount - (own.get(queue)?.get(team) ?? 0)),
    ]);
  return rankUsage(sumUsage(others)).slice(0, MAX_USAGE_ROWS);
}
