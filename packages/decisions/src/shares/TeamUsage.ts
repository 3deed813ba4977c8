import type { HostId, Millis, TeamId } from '@camphorvane/core';
import type { ResourceId, UsageRow, UsageTable } from './usageRows.ts';
import {
  MAX_USAGE_ROWS,
  rankUsage,
  roundUsage,
  sumUsage,
  USAGE_REPORT_TTL_MS,
} from './usageRows.ts';

/** Key of the sum over all peers, where a relay reports it in their stead. */
const ALL_PEERS = '';

interface UsageReport {
  readonly at: Millis;
  readonly rows: readonly UsageRow[];
}

/**
 * Time constant of the means that peers are told, in milliseconds: longer than the 700 ms by which gossip may
 * be late. A call of 43 ms has ended when its report arrives. With momentary amounts, all hosts served the
 * same team until the next report, and teams got equal shares whatever their weights.
 */
const MEAN_MS: Millis = 1_000;

/** Mean below which a team that holds nothing is forgotten. */
const MIN_MEAN = 0.01;

/** Adjustments after which teams that hold nothing are looked for. */
const PRUNE_EVERY = 1_000;

/** What a team holds of a resource on this host, now and as a running mean. */
interface HeldMean {
  readonly amount: number;
  readonly mean: number;
  /** Time of the mean. */
  readonly at: Millis;
}

/**
 * What each team holds on all hosts: on this host the amount at present, on the peers the mean over about the
 * last second as they reported it.
 *
 * Without the peers' usage, a team that spreads its requests over twelve hosts would get twelve shares.
 */
export class TeamUsage {
  private readonly own = new Map<ResourceId, Map<TeamId, HeldMean>>();

  private readonly reports = new Map<HostId, UsageReport>();

  /** Sums of the reports, computed again after a report has arrived or expired. */
  private peerSums: UsageTable = new Map();

  private peerSumsUntil: Millis = -Infinity;

  private changeCount = 0;

  private adjustCount = 0;

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
   * @param now - Present time.
   */
  adjust(queue: ResourceId, team: TeamId, delta: number, now: Millis): void {
    const teams = this.own.get(queue) ?? new Map<TeamId, HeldMean>();
    const before = teams.get(team) ?? { amount: 0, mean: 0, at: now };
    const amount = Math.max(0, before.amount + delta);
    teams.set(team, { amount, mean: meanAt(before, now), at: now });
    this.own.set(queue, teams);
    this.changeCount += 1;
    this.adjustCount += 1;
    if (this.adjustCount % PRUNE_EVERY === 0) this.prune(now);
  }

  /** Gets the largest rows of what teams hold on this host on average, to be reported to its peers. */
  getRows(now: Millis): readonly UsageRow[] {
    const means = [...this.own].map(([queue, teams]) => {
      const rows = [...teams].map(([team, held]) => [team, roundUsage(meanAt(held, now))] as const);
      return [queue, new Map(rows)] as const;
    });
    return rankUsage(new Map(means)).slice(0, MAX_USAGE_ROWS);
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
    return this.own.get(queue)?.get(team)?.amount ?? 0;
  }

  /** Gets what a team holds of a resource on the peers that reported lately. */
  heldByPeers(team: TeamId, queue: ResourceId, now: Millis): number {
    return this.sumPeers(now).get(queue)?.get(team) ?? 0;
  }

  /** Gets the teams that hold a part of a resource on any host. */
  teamsOf(queue: ResourceId, now: Millis): readonly TeamId[] {
    const own = [...(this.own.get(queue) ?? [])].filter(([, { amount }]) => amount > 0);
    const peers = this.sumPeers(now).get(queue);
    return [...new Set([...own.map(([team]) => team), ...(peers?.keys() ?? [])])];
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

  private prune(now: Millis): void {
    this.own.forEach((teams) =>
      [...teams]
        .filter(([, held]) => held.amount === 0 && meanAt(held, now) < MIN_MEAN)
        .forEach(([team]) => teams.delete(team)),
    );
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

function meanAt({ amount, mean, at }: HeldMean, now: Millis): number {
  return amount + (mean - amount) * Math.exp((at - now) / MEAN_MS);
}
