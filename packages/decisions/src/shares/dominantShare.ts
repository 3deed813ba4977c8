import type { Millis, TeamId } from '@camphorvane/core';
import type { TeamUsage } from './TeamUsage.ts';
import type { ResourceId } from './usageRows.ts';

/** A resource with the capacity of all upstreams together. */
export interface ResourceCapacity {
  readonly queue: ResourceId;
  readonly capacity: number;
}

/**
 * Gets a team's dominant share: its largest share over the resources of a queue. Where the waiting request
 * of the team with the smallest dominant share goes first, capacity is divided by weighted max-min fairness.
 *
 * @param usage - What teams hold.
 * @param team - The team.
 * @param resources - The resources of the queue.
 * @param weight - Weight of the team.
 * @param now - Present time.
 * @returns The share; 0 for a team that holds nothing.
 */
export function dominantShare(
  usage: TeamUsage,
  team: TeamId,
  resources: readonly ResourceCapacity[],
  weight: number,
  now: Millis,
): number {
  return resources.reduce(
    (largest, { queue, capacity }) =>
      Math.max(largest, usage.shareOf(team, queue, capacity, weight, now)),
    0,
  );
}
