import type { ZoneId } from '@camphorvane/core';
import {
  GROUP_SIZES,
  type GroupPlan,
  type GroupSizes,
  type PlannedGroup,
  type PlannedHost,
} from './GroupPlan.ts';

function inZone(group: PlannedGroup, zone: ZoneId): number {
  return group.hosts.filter((host) => host.zone === zone).length;
}

function least<T>(
  items: readonly T[],
  ...measures: readonly ((item: T) => number)[]
): T | undefined {
  return [...items].sort((a, b) => {
    const measure = measures.find((one) => one(a) !== one(b));
    return measure === undefined ? 0 : measure(a) - measure(b);
  })[0];
}

function moved(
  groups: readonly PlannedGroup[],
  host: PlannedHost,
  from: PlannedGroup | undefined,
  to: PlannedGroup,
): readonly PlannedGroup[] {
  return groups.map((group) => {
    if (group.id === from?.id) {
      return { ...group, hosts: group.hosts.filter((one) => one.id !== host.id) };
    }
    return group.id === to.id ? { ...group, hosts: [...group.hosts, host] } : group;
  });
}

/**
 * Gets how many groups so many hosts should form.
 *
 * The number stays as it is while every group can keep within its bounds, because each group more
 * or less moves teams and hosts.
 */
function wantedGroups(hosts: number, current: number, sizes: GroupSizes): number {
  const fewest = Math.ceil(hosts / sizes.max);
  const most = Math.max(fewest, Math.floor(hosts / sizes.min));
  return Math.min(most, Math.max(fewest, current));
}

function freshId(region: string, groups: readonly PlannedGroup[]): string {
  const taken = new Set(groups.map((group) => group.id));
  let number = 1;
  while (taken.has(`${region}-${number}`)) number += 1;
  return `${region}-${number}`;
}

function withCount(
  groups: readonly PlannedGroup[],
  wanted: number,
  region: string,
): readonly PlannedGroup[] {
  if (groups.length < wanted) {
    const fresh = { id: freshId(region, groups), region, hosts: [] };
    return withCount([...groups, fresh], wanted, region);
  }
  if (groups.length === wanted) return groups;
  const smallest = least(groups, (group) => group.hosts.length);
  return withCount(
    groups.filter((group) => group.id !== smallest?.id),
    wanted,
    region,
  );
}

/** Puts a host where its zone has fewest, so that a zone's loss costs each group as little. */
function placed(
  groups: readonly PlannedGroup[],
  host: PlannedHost,
  sizes: GroupSizes,
): readonly PlannedGroup[] {
  const open = groups.filter((group) => group.hosts.length < sizes.max);
  const best = least(
    open,
    (group) => inZone(group, host.zone),
    (group) => group.hosts.length,
  );
  return best === undefined ? groups : moved(groups, host, undefined, best);
}

/** Fills groups that are too small from the largest ones. */
function levelled(groups: readonly PlannedGroup[], floor: number): readonly PlannedGroup[] {
  const smallest = least(groups, (group) => group.hosts.length);
  const largest = least(groups, (group) => -group.hosts.length);
  if (smallest === undefined || largest === undefined) return groups;
  if (smallest.hosts.length >= floor || largest.hosts.length <= floor) return groups;
  const host = least(
    largest.hosts,
    (one) => inZone(smallest, one.zone) - inZone(largest, one.zone),
  );
  if (host === undefined) return groups;
  return levelled(moved(groups, host, largest, smallest), floor);
}

/** Finds the zone that holds a majority of a group. */
function heavyZone(group: PlannedGroup): ZoneId | undefined {
  const zones = [...new Set(group.hosts.map((host) => host.zone))];
  return zones.find((zone) => inZone(group, zone) * 2 > group.hosts.length);
}

/**
 * Exchanges one pair of hosts where one zone holds a majority of a group.
 *
 * Losing that zone would leave the group without a majority until the platform's list forgets its
 * hosts. At most one pair moves with each plan, since a moved host hands over all that it holds.
 */
function spread(groups: readonly PlannedGroup[]): readonly PlannedGroup[] {
  const heavy = groups.find((group) => heavyZone(group) !== undefined);
  if (heavy === undefined) return groups;
  const zone = heavyZone(heavy);
  const given = heavy.hosts.find((host) => host.zone === zone);
  if (given === undefined || zone === undefined) return groups;
  const other = least(
    groups.filter((group) => group.id !== heavy.id && heavyZone(group) === undefined),
    (group) => inZone(group, zone),
  );
  const taken =
    other && least(other.hosts, (host) => inZone(heavy, host.zone) - inZone(other, host.zone));
  if (other === undefined || taken === undefined || taken.zone === zone) return groups;
  return moved(moved(groups, given, heavy, other), taken, other, heavy);
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
  const wanted = wantedGroups(hosts.length, kept.length, sizes);
  const counted = withCount(kept, wanted, region);
  const assigned = new Set(counted.flatMap((group) => group.hosts.map((host) => host.id)));
  const filled = hosts
    .filter((host) => !assigned.has(host.id))
    .sort((a, b) => (a.id < b.id ? -1 : 1))
    .reduce<readonly PlannedGroup[]>((groups, host) => placed(groups, host, sizes), counted);
  const floor = wanted === 0 ? 0 : Math.min(sizes.min, Math.floor(hosts.length / wanted));
  return spread(levelled(filled, floor));
}

/**
 * Works out which host belongs to which group, moving as few hosts as it can.
 *
 * It goes on from the plan before, because a fresh division of the whole fleet would move many
 * hosts whenever one comes or goes, and each move hands over leases, shares and reservations.
 *
 * @param previous - The plan in force, or {@link EMPTY_PLAN}.
 * @param hosts - All hosts that run now.
 * @param sizes - Bounds on the size of a group.
 * @returns The next plan; equal inputs give equal plans.
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
