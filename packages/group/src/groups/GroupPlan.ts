import { rendezvousFirst, type HostId, type TeamId, type ZoneId } from '@camphorvane/core';

/** A host that belongs into some group. */
export interface PlannedHost {
  readonly id: HostId;
  readonly zone: ZoneId;
  /** Hosts of different regions never share a group: regions lose each other for an hour. */
  readonly region: string;
}

/** One group and its hosts. */
export interface PlannedGroup {
  readonly id: string;
  readonly region: string;
  readonly hosts: readonly PlannedHost[];
}

/** Which host belongs to which group. */
export interface GroupPlan {
  readonly groups: readonly PlannedGroup[];
}

/** Bounds on the size of a group. */
export interface GroupSizes {
  /** Fewest hosts: below, one zone's loss can take the majority along. */
  readonly min: number;
  /** Most hosts: above, greetings cost more than they give, as they grow with the square. */
  readonly max: number;
}

/** Six to nine hosts, as the fleets of today have. */
export const GROUP_SIZES: GroupSizes = { min: 6, max: 9 };

/** The plan before there is any host. */
export const EMPTY_PLAN: GroupPlan = { groups: [] };

/**
 * Gets the group that serves a team.
 *
 * @param team - The team.
 * @param plan - The plan in force.
 * @param region - The region whose groups are chosen among.
 * @returns The group's id, or undefined where the region has no group.
 */
export function groupOfTeam(team: TeamId, plan: GroupPlan, region: string): string | undefined {
  const ids = plan.groups.filter((group) => group.region === region).map((group) => group.id);
  return rendezvousFirst(team, ids);
}

/**
 * Gets the group that a host belongs to.
 *
 * @param host - The host.
 * @param plan - The plan in force.
 * @returns The group, or undefined where the plan does not know the host yet.
 */
export function groupOfHost(host: HostId, plan: GroupPlan): PlannedGroup | undefined {
  return plan.groups.find((group) => group.hosts.some((one) => one.id === host));
}
