import type { TeamId, Tokens } from '@camphorvane/core';

/** One team's part in a sharing. */
export interface TeamDemand {
  readonly team: TeamId;
  readonly weight: number;
  readonly wanted: Tokens;
}

/**
 * Divides a capacity fairly: each team gets what it wants up to the level, in proportion to its
 * weight, at which the capacity is used up (weighted max-min fairness).
 *
 * @param capacity - Tokens to divide.
 * @param demands - What each team wants.
 * @returns Tokens by team.
 */
export function fairShares(
  capacity: Tokens,
  demands: readonly TeamDemand[],
): ReadonlyMap<TeamId, Tokens> {
  const ordered = [...demands].sort((a, b) => a.wanted / a.weight - b.wanted / b.weight);
  const shares = new Map<TeamId, Tokens>();
  ordered.reduce(
    (left, demand) => {
      const share = Math.min(demand.wanted, (left.capacity * demand.weight) / left.weight);
      shares.set(demand.team, share);
      return { capacity: left.capacity - share, weight: left.weight - demand.weight };
    },
    { capacity, weight: demands.reduce((sum, demand) => sum + demand.weight, 0) },
  );
  return shares;
}
