import { rendezvousFirst, type HostId, type TeamId, type ZoneId } from '@camphorvane/core';

/** A host to be assigned to a group. */
export interface PlannedHost {
  readonly id: HostId;
  readonly zone: ZoneId;
  /** A group never spans regions, since a network partition between regions can last an hour. */
  readonly region: string;
}

/** One group and its hosts. */
export interface PlannedGroup {
  readonly id: string;
  readonly region: string;
  readonly hosts: readonly PlannedHost[];
}

/** Assignment of hosts to groups. */
export interface GroupPlan {
  readonly groups: readonly PlannedGroup[];
}

/** Bounds on the size of a group. */
export interface GroupSizes {
  /** Fewest hosts; in a smaller group the loss of one zone can lose the majority. */
  readonly min: number;
  /** Most hosts; the number of heartbeats grows with the square of the group's size. */
  readonly max: number;
}

/** Default bounds, in hosts. */
export const GROUP_SIZES: GroupSizes = { min: 6, max: 9 };

/** The plan without hosts. */
export const EMPTY_PLAN: GroupPlan = { groups: [] };

/**
 * Gets the group that serves a team.
 *
 * @param team - The team.
 * @param plan - The plan in force.
 * @param region - The region whose groups are considered.
 * @returns The group's id, or undefined if the region has no group.
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
 * @returns The group, or undefined if the plan does not list the host yet.
 */
export function groupOfHost(host: HostId, plan: GroupPlan): PlannedGroup | undefined {
  return plan.groups.find((group) => group.hosts.some((planned) => planned.id === host));
}
