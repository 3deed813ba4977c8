import type { HostId, Millis, TeamId } from '@camphorvane/core';
import type { ResourceId, UsageRow, UsageTable } from './usageRows.ts';
import { MAX_USAGE_ROWS, rankUsage, sumUsage, USAGE_REPORT_TTL_MS } from './usageRows.ts';

/** Key of the sum over all peers, where a relay reports it in their stead. */
const ALL_PEERS = '';

interface UsageReport {
  readonly at: Millis;
  readonly rows: readonly UsageRow[];
}

/**
 * What each team holds on all hosts: its own usage exactly, and that of the peers as they last reported it.
 *
 * Without the peers' usage, a team that spreads its requests over twelve hosts would get twelve shares.
 */
export class TeamUsage {
  private readonly own = new Map<ResourceId, Map<TeamId, number>>();

  private readonly reports = new Map<HostId, UsageReport>();

  /** Sums of the reports, computed again after a report has arrived or expired. */
  private peerSums: UsageTable = new Map();

  private peerSumsUntil: Millis = -Infinity;

  private changeCount = 0;

  /** Gets a number that changes with each change of the usage other than the expiry of a report. */
  get revision(): number {
    return this.changeCount;
  }

  /**
   * Adds to what a team holds on this host.
   *
   * @param queue - The resource.
   * @param team - The team.
   * @param delta - Whole units of the resource; negative ones are subtracted, down to zero.
   */
  adjust(queue: ResourceId, team: TeamId, delta: number): void {
    const teams = this.own.get(queue) ?? new Map<TeamId, number>();
    const amount = (teams.get(team) ?? 0) + delta;
    if (amount > 0) teams.set(team, amount);
    else teams.delete(team);
    if (teams.size > 0) this.own.set(queue, teams);
    else this.own.delete(queue);
    this.changeCount += 1;
  }

  /** Gets the largest rows of what teams hold on this host, to be reported to its peers. */
  getRows(): readonly UsageRow[] {
    return rankUsage(this.own).slice(0, MAX_USAGE_ROWS);
  }

  /** Stores the report of one peer, in place of its previous one. */
  receive(peer: HostId, rows: readonly UsageRow[], now: Millis): void {
    this.reports.delete(ALL_PEERS);
    this.store(peer, rows, now);
  }

  /** Stores the sums over all peers, in place of all earlier reports. */
  receiveSum(rows: readonly UsageRow[], now: Millis): void {
    this.reports.clear();
    this.store(ALL_PEERS, rows, now);
  }

  /** Gets what a team holds of a resource on all hosts, as far as this host knows. */
  heldBy(team: TeamId, queue: ResourceId, now: Millis): number {
    return this.heldHere(team, queue) + this.heldByPeers(team, queue, now);
  }

  /** Gets what a team holds of a resource on this host. */
  heldHere(team: TeamId, queue: ResourceId): number {
    return this.own.get(queue)?.get(team) ?? 0;
  }

  /** Gets what a team holds of a resource on the peers that reported lately. */
  heldByPeers(team: TeamId, queue: ResourceId, now: Millis): number {
    return this.sumPeers(now).get(queue)?.get(team) ?? 0;
  }

  /** Gets the teams that hold a part of a resource on any host. */
  teamsOf(queue: ResourceId, now: Millis): readonly TeamId[] {
    const peers = this.sumPeers(now).get(queue);
    return [...new Set([...(this.own.get(queue)?.keys() ?? []), ...(peers?.keys() ?? [])])];
  }

  /**
   * Gets a team's share of a resource.
   *
   * @param team - The team.
   * @param queue - The resource.
   * @param capacity - Units of the resource on all upstreams; a resource without any counts for nothing.
   * @param weight - Weight of the team.
   * @param now - Present time.
   * @returns The fraction of the capacity that the team holds, divided by its weight.
   */
  shareOf(team: TeamId, queue: ResourceId, capacity: number, weight: number, now: Millis): number {
    return capacity > 0 ? this.heldBy(team, queue, now) / capacity / weight : 0;
  }

  /** Gets the age of the oldest report that counts; undefined where none does. */
  getReportAgeMs(now: Millis): Millis | undefined {
    this.sumPeers(now);
    const ages = [...this.reports.values()].map(({ at }) => now - at);
    return ages.length === 0 ? undefined : Math.max(...ages);
  }

  private store(peer: HostId, rows: readonly UsageRow[], now: Millis): void {
    this.reports.set(peer, { at: now, rows });
    this.peerSumsUntil = -Infinity;
    this.changeCount += 1;
  }

  private sumPeers(now: Millis): UsageTable {
    if (now <= this.peerSumsUntil) return this.peerSums;
    [...this.reports]
      .filter(([, { at }]) => now - at > USAGE_REPORT_TTL_MS)
      .forEach(([peer]) => this.reports.delete(peer));
    const reports = [...this.reports.values()];
    this.peerSums = sumUsage(reports.flatMap(({ rows }) => rows));
    this.peerSumsUntil = Math.min(Infinity, ...reports.map(({ at }) => at + USAGE_REPORT_TTL_MS));
    return this.peerSums;
  }
}
