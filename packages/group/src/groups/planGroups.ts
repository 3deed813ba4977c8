import type { ZoneId } from '@camphorvane/core';
import {
  GROUP_SIZES,
  type GroupPlan,
  type GroupSizes,
  type PlannedGroup,
  type PlannedHost,
} from './GroupPlan.ts';

function countInZone(group: PlannedGroup, zone: ZoneId): number {
  return group.hosts.filter((host) => host.zone === zone).length;
}

function minBy<T>(
  items: readonly T[],
  ...measures: readonly ((item: T) => number)[]
): T | undefined {
  return [...items].sort((a, b) => {
    const measure = measures.find((one) => one(a) !== one(b));
    return measure === undefined ? 0 : measure(a) - measure(b);
  })[0];
}

function moveHost(
  groups: readonly PlannedGroup[],
  host: PlannedHost,
  from: PlannedGroup | undefined,
  to: PlannedGroup,
): readonly PlannedGroup[] {
  return groups.map((group) => {
    if (group.id === from?.id) {
      return { ...group, hosts: group.hosts.filter((member) => member.id !== host.id) };
    }
    return group.id === to.id ? { ...group, hosts: [...group.hosts, host] } : group;
  });
}

/**
 * Gets the number of groups for a number of hosts.
 *
 * It stays at the current number while all groups can be within the size bounds, because adding or
 * removing a group moves teams and hosts.
 */
function countWantedGroups(hosts: number, current: number, sizes: GroupSizes): number {
  const fewest = Math.ceil(hosts / sizes.max);
  const most = Math.max(fewest, Math.floor(hosts / sizes.min));
  return Math.min(most, Math.max(fewest, current));
}

function createGroupId(region: string, groups: readonly PlannedGroup[]): string {
  const taken = new Set(groups.map((group) => group.id));
  let number = 1;
  while (taken.has(`${region}-${number}`)) number += 1;
  return `${region}-${number}`;
}

function withGroupCount(
  groups: readonly PlannedGroup[],
  wanted: number,
  region: string,
): readonly PlannedGroup[] {
  if (groups.length < wanted) {
    const fresh = { id: createGroupId(region, groups), region, hosts: [] };
    return withGroupCount([...groups, fresh], wanted, region);
  }
  if (groups.length === wanted) return groups;
  const smallest = minBy(groups, (group) => group.hosts.length);
  return withGroupCount(
    groups.filter((group) => group.id !== smallest?.id),
    wanted,
    region,
  );
}

/** Assigns a host to the group with the fewest hosts of its zone, to limit a zone loss. */
function assignHost(
  groups: readonly PlannedGroup[],
  host: PlannedHost,
  sizes: GroupSizes,
): readonly PlannedGroup[] {
  const open = groups.filter((group) => group.hosts.length < sizes.max);
  const best = minBy(
    open,
    (group) => countInZone(group, host.zone),
    (group) => group.hosts.length,
  );
  return best === undefined ? groups : moveHost(groups, host, undefined, best);
}

/** Moves hosts from the largest groups to those that are too small. */
function fillSmallGroups(groups: readonly PlannedGroup[], floor: number): readonly PlannedGroup[] {
  const smallest = minBy(groups, (group) => group.hosts.length);
  const largest = minBy(groups, (group) => -group.hosts.length);
  if (smallest === undefined || largest === undefined) return groups;
  if (smallest.hosts.length >= floor || largest.hosts.length <= floor) return groups;
  const host = minBy(
    largest.hosts,
    (one) => countInZone(smallest, one.zone) - countInZone(largest, one.zone),
  );
  if (host === undefined) return groups;
  return fillSmallGroups(moveHost(groups, host, largest, smallest), floor);
}

/** Finds the zone that has a majority of a group's hosts. */
function findMajorityZone(group: PlannedGroup): ZoneId | undefined {
  const zones = [...new Set(group.hosts.map((host) => host.zone))];
  return zones.find((zone) => countInZone(group, zone) * 2 > group.hosts.length);
}

/**
 * Swaps one pair of hosts if a zone has a majority of a group's hosts.
 *
 * The loss of that zone would leave the group without a majority until the platform's host list
 * drops its hosts. Each plan swaps at most one pair, since a moved host has to hand over all its
 * state.
 */
function swapFromMajorityZone(groups: readonly PlannedGroup[]): readonly PlannedGroup[] {
  const overweight = groups.find((group) => findMajorityZone(group) !== undefined);
  if (overweight === undefined) return groups;
  const zone = findMajorityZone(overweight);
  const outgoing = overweight.hosts.find((host) => host.zone === zone);
  if (outgoing === undefined || zone === undefined) return groups;
  const other = minBy(
    groups.filter((group) => group.id !== overweight.id && findMajorityZone(group) === undefined),
    (group) => countInZone(group, zone),
  );
  const incoming =
    other &&
    minBy(
      other.hosts,
      (host) => countInZone(overweight, host.zone) - countInZone(other, host.zone),
    );
  if (other === undefined || incoming === undefined || incoming.zone === zone) return groups;
  return moveHost(moveHost(groups, outgoing, overweight, other), incoming, other, overweight);
}

function planRegion(
  previous: readonly PlannedGroup[],
  hosts: readonly PlannedHost[],
  region: string,
  sizes: GroupSizes,
): readonly PlannedGroup[] {
  const known = new Map(hosts.map((host) => [host.id, host]));
  const kept = previous.map((group) => ({
    ...group,
    hosts: group.hosts.flatMap((host) => known.get(host.id) ?? []),
  }));
  const wanted = countWantedGroups(hosts.length, kept.length, sizes);
  const counted = withGroupCount(kept, wanted, region);
  const assigned = new Set(counted.flatMap((group) => group.hosts.map((host) => host.id)));
  const filled = hosts
    .filter((host) => !assigned.has(host.id))
    .sort((a, b) => (a.id < b.id ? -1 : 1))
    .reduce<readonly PlannedGroup[]>((groups, host) => assignHost(groups, host, sizes), counted);
  const floor = wanted === 0 ? 0 : Math.min(sizes.min, Math.floor(hosts.length / wanted));
  return swapFromMajorityZone(fillSmallGroups(filled, floor));
}

/**
 * Assigns hosts to groups and moves as few hosts as possible.
 *
 * The plan is derived from the previous one, because planning from scratch would move many hosts
 * whenever one joins or leaves, and each move hands over leases, shares and reservations.
 *
 * @param previous - The plan in force, or {@link EMPTY_PLAN}.
 * @param hosts - All running hosts.
 * @param sizes - Bounds on the size of a group.
 * @returns The next plan, which depends on the inputs alone.
 */
export function planGroups(
  previous: GroupPlan,
  hosts: readonly PlannedHost[],
  sizes: GroupSizes = GROUP_SIZES,
): GroupPlan {
  const regions = [...new Set(hosts.map((host) => host.region))].sort();
  const groups = regions.flatMap((region) =>
    planRegion(
      previous.groups.filter((group) => group.region === region),
      hosts.filter((host) => host.region === region),
      region,
      sizes,
    ),
  );
  return { groups };
}
