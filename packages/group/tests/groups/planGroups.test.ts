import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@camphorvane/core';
import {
  EMPTY_PLAN,
  GROUP_SIZES,
  groupOfHost,
  groupOfTeam,
  planGroups,
  type GroupPlan,
  type PlannedHost,
} from '../../src/index.ts';

/** Availability zones of the test fleet, over two regions. */
const FLEET_ZONES = 7;

function fleet(count: number): readonly PlannedHost[] {
  return Array.from({ length: count }, (_, index) => {
    const zone = index % FLEET_ZONES;
    return { id: `h${index}`, zone: `z${zone}`, region: zone < 4 ? 'east' : 'west' };
  });
}

function movesBetween(before: GroupPlan, after: GroupPlan): number {
  return before.groups.flatMap((group) =>
    group.hosts.filter((host) => {
      const now = groupOfHost(host.id, after);
      return now !== undefined && now.id !== group.id;
    }),
  ).length;
}

function largestZoneShare(plan: GroupPlan): number {
  const shares = plan.groups.map((group) => {
    const counts = group.hosts.map(
      (host) => group.hosts.filter((other) => other.zone === host.zone).length,
    );
    return Math.max(...counts) / group.hosts.length;
  });
  return Math.max(...shares);
}

function assertSizes(plan: GroupPlan): void {
  plan.groups.forEach(({ id, hosts }) => {
    assert.ok(hosts.length >= GROUP_SIZES.min && hosts.length <= GROUP_SIZES.max, id);
  });
}

test('nine hosts form one group', () => {
  const hosts = fleet(9).map((host) => ({ ...host, region: 'bengal' }));
  assert.deepEqual(
    planGroups(EMPTY_PLAN, hosts).groups.map((group) => group.hosts.length),
    [9],
  );
});

test('350 hosts form groups of six to nine hosts across the zones of one region', () => {
  const plan = planGroups(EMPTY_PLAN, fleet(350));
  assertSizes(plan);
  assert.ok(plan.groups.length >= 39 && plan.groups.length <= 45, `${plan.groups.length}`);
  assert.ok(largestZoneShare(plan) < 0.5);
  plan.groups.forEach(({ region, hosts }) => {
    assert.deepEqual([...new Set(hosts.map((host) => host.region))], [region]);
  });
});

test('replacing 600 hosts one by one moves few other hosts and keeps groups in bounds', () => {
  // About 600 hosts are replaced in a day. A host that changes its group hands over all its state,
  // so that many moves would cause refusals for callers.
  const random = new RandomSource(7);
  let hosts = fleet(350);
  let plan = planGroups(EMPTY_PLAN, hosts);
  let moves = 0;
  Array.from({ length: 600 }).forEach((_, index) => {
    const gone = hosts[random.int(0, hosts.length - 1)];
    assert.ok(gone);
    const fresh = { ...gone, id: `n${index}` };
    const without = hosts.filter((host) => host.id !== gone.id);
    const between = planGroups(plan, without);
    hosts = [...without, fresh];
    const after = planGroups(between, hosts);
    moves += movesBetween(plan, between) + movesBetween(between, after);
    plan = after;
    assertSizes(plan);
  });
  assert.ok(moves <= 60, `${moves} moves`);
  assert.ok(largestZoneShare(plan) <= 0.5, `${largestZoneShare(plan)}`);
});

test('the loss of a zone leaves every group a majority of its hosts', () => {
  // A group with half of its hosts in a failed availability zone has no quorum for a takeover, and
  // its teams would be refused until the zone recovers.
  const hosts = fleet(350);
  const plan = planGroups(EMPTY_PLAN, hosts);
  plan.groups.forEach(({ id, hosts: all }) => {
    const left = all.filter((host) => host.zone !== 'z1').length;
    assert.ok(left * 2 > all.length, id);
  });
});

test('adding a group moves only the teams that it gets', () => {
  const before = planGroups(
    EMPTY_PLAN,
    fleet(63).map((host) => ({ ...host, region: 'east' })),
  );
  const after = planGroups(
    before,
    fleet(64).map((host) => ({ ...host, region: 'east' })),
  );
  assert.equal(after.groups.length, before.groups.length + 1);
  const fresh = after.groups.at(-1)?.id;
  const teams = Array.from({ length: 2_000 }, (_, index) => `team-${index}`);
  const movedTeams = teams.filter(
    (team) => groupOfTeam(team, before, 'east') !== groupOfTeam(team, after, 'east'),
  );
  movedTeams.forEach((team) => assert.equal(groupOfTeam(team, after, 'east'), fresh));
  assert.ok(movedTeams.length < (2_000 / after.groups.length) * 1.3, `${movedTeams.length}`);
});
