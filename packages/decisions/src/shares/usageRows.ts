import type { ModelId, ServiceId, TeamId } from '@camphorvane/core';

/**
 * A resource that requests of a queue hold: calls in flight to a plain service, or the memory and the
 * streams of a pool. The name is part of the gossip.
 */
export type ResourceId = string;

/** What one team holds of one resource: tokens of memory, streams or calls. */
export type UsageRow = readonly [team: TeamId, queue: ResourceId, amount: number];

/** Amounts by resource and team. */
export type UsageTable = ReadonlyMap<ResourceId, ReadonlyMap<TeamId, number>>;

/** Most rows in one gossip message: a row takes about 30 bytes, so 64 rows take 2 KB. */
export const MAX_USAGE_ROWS = 64;

/**
 * Milliseconds for which a peer's report of usage counts. Digests arrive up to 700 ms apart in large
 * fleets, so this outlives one lost message.
 */
export const USAGE_REPORT_TTL_MS = 1_500;

/** Smallest amount that is reported in whole units. */
const MIN_WHOLE_AMOUNT = 100;

/** Gets the resource of the calls in flight to a plain service. */
export function callsOf(service: ServiceId): ResourceId {
  return `c:${service}`;
}

/** Gets the resource of the memory that streams of a pool hold, in tokens. */
export function memoryOf(model: ModelId): ResourceId {
  return `m:${model}`;
}

/** Gets the resource of the running streams of a pool. */
export function streamsOf(model: ModelId): ResourceId {
  return `s:${model}`;
}

/** Rounds an amount to whole units, or to two decimals where it is small, to keep the rows short. */
export function roundUsage(amount: number): number {
  return amount >= MIN_WHOLE_AMOUNT ? Math.round(amount) : Math.round(amount * 100) / 100;
}

/** Sums up rows by resource and team. */
export function sumUsage(rows: readonly UsageRow[]): UsageTable {
  return rows.reduce((table, [team, queue, amount]) => {
    const teams = table.get(queue) ?? new Map<TeamId, number>();
    teams.set(team, (teams.get(team) ?? 0) + amount);
    return table.set(queue, teams);
  }, new Map<ResourceId, Map<TeamId, number>>());
}

/**
 * Lists a table as rows, largest first. Amounts of different resources can't be compared, so a row ranks
 * by its part of the total of its resource.
 *
 * @param table - The amounts.
 * @returns All rows with an amount above zero.
 */
export function rankUsage(table: UsageTable): readonly UsageRow[] {
  return [...table]
    .flatMap(([queue, teams]) => {
      const total = [...teams.values()].reduce((sum, amount) => sum + amount, 0);
      return [...teams].map(([team, amount]) => ({
        row: [team, queue, amount] as const,
        part: amount / total,
      }));
    })
    .filter(({ row: [, , amount] }) => amount > 0)
    .sort((a, b) => b.part - a.part)
    .map(({ row }) => row);
}
