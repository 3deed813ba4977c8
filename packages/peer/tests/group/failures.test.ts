import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MEMBERSHIP_RULES, memberKey, parseGroupRecord } from '@camphorvane/group';
import { GROUP_KIND } from '../../src/index.ts';
import { SimulatedGroup, KEYS, SETTINGS } from '../support/SimulatedGroup.ts';

const ACT_LEASE_MS = SETTINGS.actForMs;
const TAKEOVER_WAIT_MS = MEMBERSHIP_RULES.takeoverWait(SETTINGS);
const MINUTE_MS = 60_000;

function storedMembers(world: SimulatedGroup): readonly string[] {
  const value = world.platform.get(GROUP_KIND, 'g0')?.value;
  const record = parseGroupRecord(value).unwrapOr(undefined);
  return (record?.members ?? []).map((member) => member.host).sort();
}

function assertEveryKeyServed(world: SimulatedGroup): void {
  KEYS.forEach((key) => assert.equal(world.coordinatorsOf(key).length, 1, key));
}

test('a platform outage of ten minutes stops no member', async () => {
  // The platform's store stays down. Members renew each other's leases, so that each continues to act
  // and every key keeps its coordinator.
  const world = new SimulatedGroup();
  const ids = await world.startGroup(5);
  world.platform.down = true;
  await world.run(10 * MINUTE_MS, 5_000);
  ids.forEach((id) => assert.equal(world.runner(id).mayAct(), true));
  assertEveryKeyServed(world);
});

test('a host that crashes during a platform outage affects only its own keys', async () => {
  // Without the platform no new epoch can be written, so the keys of the crashed host have no
  // coordinator until the platform is back; all other keys keep theirs.
  const world = new SimulatedGroup();
  await world.startGroup(5);
  const lost = KEYS.filter((key) => world.runner('h1').coordinatorOf(key) === 'h2');
  world.platform.down = true;
  world.crash('h2');
  await world.run(MINUTE_MS, 500);
  KEYS.forEach((key) => assert.equal(world.coordinatorsOf(key).length, lost.includes(key) ? 0 : 1));
  world.platform.down = false;
  await world.run(30_000);
  assertEveryKeyServed(world);
  assert.deepEqual(storedMembers(world), ['h1', 'h3', 'h4', 'h5']);
});

test('an isolated host stops acting within its lease before its keys are taken over', async () => {
  // One host reaches neither its peers nor the platform, but still runs and may reach callers. It
  // must stop acting by its own clock before another host takes over its keys.
  const world = new SimulatedGroup();
  await world.startGroup(5);
  world.isPartitioned = (a, b) => a === 'h3' || b === 'h3';
  await world.run(ACT_LEASE_MS);
  assert.equal(world.runner('h3').mayAct(), false);
  await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER_WAIT_MS + 2_000);
  assertEveryKeyServed(world);
  world.isPartitioned = () => false;
  await world.run(20_000);
  assert.equal(world.runner('h3').mayAct(), true);
  assert.equal(world.membersAt('h3').length, 5);
});

test('with the platform on the minority side of a partition, no member is removed', async () => {
  // The network separates two hosts from three, and only the two reach the platform. Both sides keep
  // their own keys, and no host takes over a key of the other side.
  const world = new SimulatedGroup();
  const ids = await world.startGroup(5);
  const { epoch } = world.runner('h1').view();
  const minority = new Set(['h1', 'h2', 'platform']);
  world.isPartitioned = (a, b) => minority.has(a) !== minority.has(b);
  await world.run(MINUTE_MS, 250);
  ids.forEach((id) => assert.equal(world.runner(id).mayAct(), true, id));
  assertEveryKeyServed(world);
  assert.equal(world.runner('h1').view().epoch, epoch);
});

test('with the platform on the majority side of a partition, the majority takes over', async () => {
  // The network separates two hosts from three, and only the three reach the platform. The two stop
  // acting within their leases, and after the takeover wait the three serve all keys.
  const world = new SimulatedGroup();
  await world.startGroup(5);
  const minority = new Set(['h1', 'h2']);
  world.isPartitioned = (a, b) => minority.has(a) !== minority.has(b);
  await world.run(ACT_LEASE_MS);
  assert.equal(world.runner('h1').mayAct(), false);
  assert.equal(world.runner('h2').mayAct(), false);
  await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER_WAIT_MS + 3_000);
  assert.deepEqual(storedMembers(world), ['h3', 'h4', 'h5']);
  assertEveryKeyServed(world);
});

test('a member paused for longer than its lease resumes without permission to act', async () => {
  // A host's process is frozen for longer than its lease and then continues, unaware of the pause.
  // Its keys have another coordinator by then, so it must not act on them.
  const world = new SimulatedGroup();
  await world.startGroup(5);
  const paused = world.host('h2');
  paused.clock.pause();
  await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER_WAIT_MS + 5_000);
  assertEveryKeyServed(world);
  assert.equal(paused.runner.mayAct(), false);
  paused.clock.resume();
  assert.equal(paused.runner.mayAct(), false);
  await world.run(20_000);
  assert.equal(paused.runner.mayAct(), true);
  assertEveryKeyServed(world);
});

test('clocks that drift up to the bound never lead to two coordinators', async () => {
  // One host's clock is slow and those of the others are fast, both by the drift bound, while the
  // slow host is isolated. Less time passes on its clock, so the others must wait for it.
  const world = new SimulatedGroup({ driftBound: 0.2 });
  world.start('h1', 1 / 1.2);
  ['h2', 'h3', 'h4'].forEach((id) => world.start(id, 1.2));
  await world.run(20_000);
  assertEveryKeyServed(world);
  world.isPartitioned = (a, b) => a === 'h1' || b === 'h1';
  await world.run(20_000, 20);
  assertEveryKeyServed(world);
  assert.deepEqual(storedMembers(world), ['h2', 'h3', 'h4']);
});

test('hosts that write the same epoch concurrently end in one group', async () => {
  // All hosts of a new group start at the same time and each tries to write epoch 1. One succeeds;
  // the others must join it instead of running separate groups.
  const world = new SimulatedGroup();
  await world.startGroup(9);
  const records = new Set(
    [...world.hosts.values()].map(({ runner }) => JSON.stringify(runner.view().members)),
  );
  assert.equal(records.size, 1);
  assert.equal(storedMembers(world).length, 9);
});

test('a write whose response was lost is found by reading', async () => {
  // A host crashes and the new epoch is written, but the response of the write is lost. The keys of
  // the crashed host are taken over a little later.
  const world = new SimulatedGroup();
  await world.startGroup(5);
  world.platform.lostResponses = 1;
  world.crash('h1');
  await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER_WAIT_MS + 5_000);
  assert.equal(world.platform.lostResponses, 0);
  assert.deepEqual(world.membersAt('h2'), ['h2', 'h3', 'h4', 'h5']);
  assertEveryKeyServed(world);
});

test('when all hosts are replaced at once, the host list lets the new ones start', async () => {
  // All hosts crash and others replace them, so that no member is left to end the old epoch. The new
  // ones must not act until the platform's host list has lacked the old hosts for long enough.
  const world = new SimulatedGroup();
  const old = await world.startGroup(3);
  old.forEach((id) => world.crash(id));
  await world.run(1_000);
  ['h11', 'h12', 'h13'].forEach((id) => world.start(id));
  await world.run(20_000);
  assert.equal(KEYS.flatMap((key) => world.coordinatorsOf(key)).length, 0);
  old.forEach((id) => world.list(id, 'gone'));
  await world.run(SETTINGS.goneAfterMs + 20_000);
  assert.deepEqual(storedMembers(world), ['h11', 'h12', 'h13']);
  assertEveryKeyServed(world);
});

test('a group whose hosts all restart in place continues without the host list', async () => {
  // A power failure restarts every host at its old address, so the host list doesn't change. The new
  // incarnations answer at the old addresses, which proves that the old ones have ended.
  const world = new SimulatedGroup();
  const ids = await world.startGroup(5);
  ids.forEach((id) => world.crash(id));
  ids.forEach((id) => world.start(id));
  await world.run(30_000);
  assert.deepEqual(storedMembers(world), [...ids]);
  ids.forEach((id) => assert.equal(world.runner(id).mayAct(), true));
  assertEveryKeyServed(world);
});

test('a rolling replacement of all hosts never leaves a key unserved for long', async () => {
  // Hosts are replaced one at a time for a new version. Each leaves gracefully, so that its keys move
  // without the takeover wait of a crash.
  const world = new SimulatedGroup();
  const ids = await world.startGroup(6);
  await ids.reduce<Promise<void>>(async (before, id, index) => {
    await before;
    world.start(`h${index + 11}`);
    await world.run(5_000);
    world.runner(id).drain();
    await world.run(3_000);
    assertEveryKeyServed(world);
    const left = world.runner(id).leave(5_000);
    await world.run(2_000);
    assert.equal(await left, true);
    world.crash(id);
    world.list(id, 'gone');
    assertEveryKeyServed(world);
  }, Promise.resolve());
  assert.deepEqual(storedMembers(world), ['h11', 'h12', 'h13', 'h14', 'h15', 'h16']);
});

test('the hosts of one availability zone at a time can crash and restart', async () => {
  // Each availability zone, with a third of the hosts, fails without notice and recovers in turn. The
  // other two thirds are a majority each time and take over.
  const world = new SimulatedGroup();
  const ids = await world.startGroup(6);
  await [0, 1, 2].reduce<Promise<void>>(async (before, zone) => {
    await before;
    const hosts = ids.filter((_, index) => index % 3 === zone);
    hosts.forEach((id) => world.crash(id));
    await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER_WAIT_MS + 5_000);
    assertEveryKeyServed(world);
    hosts.forEach((id) => world.start(id));
    await world.run(15_000);
    assertEveryKeyServed(world);
  }, Promise.resolve());
  assert.deepEqual(storedMembers(world), [...ids]);
});

test('a draining host coordinates no key and is marked as draining within two seconds', async () => {
  // An operator drains a host. Callers that request addresses and hosts that look up a coordinator
  // must no longer be sent to it, while it finishes its work in flight.
  const world = new SimulatedGroup();
  const ids = await world.startGroup(6);
  world.runner('h4').drain();
  await world.run(2_000);
  ids.forEach((id) => {
    const { members } = world.runner(id).view();
    assert.equal(members.find((member) => member.host === 'h4')?.draining, true);
    KEYS.forEach((key) => assert.notEqual(world.runner(id).coordinatorOf(key), 'h4'));
  });
  assert.equal(world.runner('h4').mayAct(), true);
  assertEveryKeyServed(world);
});

test('a broken path between two members removes neither', async () => {
  // Two hosts can't reach each other, while both reach all others. If one removed the other, that
  // would rejoin and be removed again, and keys would move continuously.
  const world = new SimulatedGroup();
  const ids = await world.startGroup(5);
  const { epoch } = world.runner('h1').view();
  world.isPartitioned = (a, b) => [a, b].sort().join() === 'h1,h2';
  await world.run(MINUTE_MS, 250);
  assert.equal(world.runner('h1').view().epoch, epoch);
  ids.forEach((id) => assert.equal(world.runner(id).mayAct(), true));
});

test('a manually deleted record is written again by the members', async () => {
  // An operator deletes the group's object. A host that starts afterwards must join the running group
  // instead of starting another whose coordinators would act beside the old ones.
  const world = new SimulatedGroup();
  await world.startGroup(3);
  const { epoch } = world.runner('h1').view();
  world.platform.objects.clear();
  await world.run(2 * SETTINGS.recordReadIntervalMs);
  assert.ok(world.runner('h1').view().epoch > epoch);
  world.start('h4');
  await world.run(10_000);
  assert.deepEqual(storedMembers(world), ['h1', 'h2', 'h3', 'h4']);
  const known = world.runner('h4').view().members.map(memberKey);
  assert.deepEqual(known, world.runner('h1').view().members.map(memberKey));
});
