import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MEMBERSHIP_RULES, memberKey, parseGroupRecord } from '@camphorvane/group';
import { GROUP_KIND } from '../../src/index.ts';
import { GroupWorld, KEYS, SETTINGS } from '../support/GroupWorld.ts';

const T = SETTINGS.actForMs;
const TAKEOVER = MEMBERSHIP_RULES.takeoverWait(SETTINGS);
const MINUTE = 60_000;

function storedMembers(world: GroupWorld): readonly string[] {
  const value = world.platform.get(GROUP_KIND, 'g0')?.value;
  const record = parseGroupRecord(value).unwrapOr(undefined);
  return (record?.members ?? []).map((member) => member.host).sort();
}

function assertEveryKeyServed(world: GroupWorld): void {
  KEYS.forEach((key) => assert.equal(world.stewards(key).length, 1, key));
}

test('a platform outage of ten minutes stops no member', async () => {
  // The platform's store goes down and stays down. Callers should notice nothing: members vouch for
  // each other, so that each goes on acting and every key keeps its steward.
  const world = new GroupWorld();
  const ids = await world.startGroup(5);
  world.platform.down = true;
  await world.run(10 * MINUTE, 5_000);
  ids.forEach((id) => assert.equal(world.runner(id).mayAct(), true));
  assertEveryKeyServed(world);
});

test('a host that crashes during an outage costs its own keys only', async () => {
  // The platform is down when a host dies, so that no new epoch can be written. Callers of its keys
  // wait until the platform is back; all others notice nothing.
  const world = new GroupWorld();
  await world.startGroup(5);
  const lost = KEYS.filter((key) => world.runner('h1').stewardOf(key) === 'h2');
  world.platform.down = true;
  world.crash('h2');
  await world.run(MINUTE, 500);
  KEYS.forEach((key) => assert.equal(world.stewards(key).length, lost.includes(key) ? 0 : 1));
  world.platform.down = false;
  await world.run(30_000);
  assertEveryKeyServed(world);
  assert.deepEqual(storedMembers(world), ['h1', 'h3', 'h4', 'h5']);
});

test('a host cut off from all stops within T and its keys are taken over after that', async () => {
  // A switch dies and one host reaches neither peers nor the platform, though it still runs and may
  // still reach callers. It must stop by its own clock before another host takes over its keys.
  const world = new GroupWorld();
  await world.startGroup(5);
  world.isCut = (a, b) => a === 'h3' || b === 'h3';
  await world.run(T);
  assert.equal(world.runner('h3').mayAct(), false);
  await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER + 2_000);
  assertEveryKeyServed(world);
  world.isCut = () => false;
  await world.run(20_000);
  assert.equal(world.runner('h3').mayAct(), true);
  assert.equal(world.membersAt('h3').length, 5);
});

test('with the platform on the minority side of a split, nobody is thrown out', async () => {
  // The network splits two from three, and only the two reach the platform. Both sides go on with
  // their own keys, and nobody takes over a key of the other side.
  const world = new GroupWorld();
  const ids = await world.startGroup(5);
  const { epoch } = world.runner('h1').view();
  const minority = new Set(['h1', 'h2', 'platform']);
  world.isCut = (a, b) => minority.has(a) !== minority.has(b);
  await world.run(MINUTE, 250);
  ids.forEach((id) => assert.equal(world.runner(id).mayAct(), true, id));
  assertEveryKeyServed(world);
  assert.equal(world.runner('h1').view().epoch, epoch);
});

test('with the platform on the majority side of a split, the majority takes over', async () => {
  // The network splits two from three, and only the three reach the platform. The two stop within
  // T, and a little later the three serve all keys.
  const world = new GroupWorld();
  await world.startGroup(5);
  const minority = new Set(['h1', 'h2']);
  world.isCut = (a, b) => minority.has(a) !== minority.has(b);
  await world.run(T);
  assert.equal(world.runner('h1').mayAct(), false);
  assert.equal(world.runner('h2').mayAct(), false);
  await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER + 3_000);
  assert.deepEqual(storedMembers(world), ['h3', 'h4', 'h5']);
  assertEveryKeyServed(world);
});

test('a member paused beyond T wakes without permission to act', async () => {
  // A host's process is frozen for longer than T and then goes on, not knowing that time passed.
  // Its keys have another steward by then, so the first thing it does must not be to act on them.
  const world = new GroupWorld();
  await world.startGroup(5);
  const sleeper = world.host('h2');
  sleeper.clock.pause();
  await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER + 5_000);
  assertEveryKeyServed(world);
  assert.equal(sleeper.runner.mayAct(), false);
  sleeper.clock.resume();
  assert.equal(sleeper.runner.mayAct(), false);
  await world.run(20_000);
  assert.equal(sleeper.runner.mayAct(), true);
  assertEveryKeyServed(world);
});

test('clocks that drift to the bound never make two stewards', async () => {
  // One host's clock runs slow and another's fast, both to the bound, while the slow one is cut off.
  // It believes that less time has passed than the others, who must wait for it.
  const world = new GroupWorld({ driftBound: 0.2 });
  world.start('h1', 1 / 1.2);
  ['h2', 'h3', 'h4'].forEach((id) => world.start(id, 1.2));
  await world.run(20_000);
  assertEveryKeyServed(world);
  world.isCut = (a, b) => a === 'h1' || b === 'h1';
  await world.run(20_000, 20);
  assertEveryKeyServed(world);
  assert.deepEqual(storedMembers(world), ['h2', 'h3', 'h4']);
});

test('two hosts that write the same epoch end in one', async () => {
  // All hosts of a new group start in the same moment and each tries to write epoch 1. One wins;
  // the others must join it instead of running groups of their own.
  const world = new GroupWorld();
  await world.startGroup(9);
  const records = new Set(
    [...world.hosts.values()].map(({ runner }) => JSON.stringify(runner.view().members)),
  );
  assert.equal(records.size, 1);
  assert.equal(storedMembers(world).length, 9);
});

test('a write whose answer is lost is found by reading', async () => {
  // A host dies, the new epoch is written and takes effect, but the answer never arrives. Callers
  // of the dead host's keys wait a little longer, no more.
  const world = new GroupWorld();
  await world.startGroup(5);
  world.platform.lostAnswers = 1;
  world.crash('h1');
  await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER + 5_000);
  assert.equal(world.platform.lostAnswers, 0);
  assert.deepEqual(world.membersAt('h2'), ['h2', 'h3', 'h4', 'h5']);
  assertEveryKeyServed(world);
});

test('when every host was replaced at once the host list lets the new ones begin', async () => {
  // All hosts die and others take their place, so that nobody is left to close the old epoch.
  // Callers are refused until the platform's list has missed the old hosts for long enough.
  const world = new GroupWorld();
  const old = await world.startGroup(3);
  old.forEach((id) => world.crash(id));
  await world.run(1_000);
  ['h11', 'h12', 'h13'].forEach((id) => world.start(id));
  await world.run(20_000);
  assert.equal(KEYS.flatMap((key) => world.stewards(key)).length, 0);
  old.forEach((id) => world.list(id, 'gone'));
  await world.run(SETTINGS.goneAfterMs + 20_000);
  assert.deepEqual(storedMembers(world), ['h11', 'h12', 'h13']);
  assertEveryKeyServed(world);
});

test('a group whose hosts all restart in place goes on without the host list', async () => {
  // A power cut restarts every host at its old address, so the list shows no change. The new
  // processes answer in place of the old ones, which proves that those have ended.
  const world = new GroupWorld();
  const ids = await world.startGroup(5);
  ids.forEach((id) => world.crash(id));
  ids.forEach((id) => world.start(id));
  await world.run(30_000);
  assert.deepEqual(storedMembers(world), [...ids]);
  ids.forEach((id) => assert.equal(world.runner(id).mayAct(), true));
  assertEveryKeyServed(world);
});

test('replacing every host one after another never leaves a key unserved for long', async () => {
  // Hosts are replaced one at a time for a new version of the program. Each leaves in good order,
  // so that its keys move without the wait that a crash costs.
  const world = new GroupWorld();
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

test('a third of the hosts at a time can crash and come back', async () => {
  // An availability zone with a third of the hosts goes without notice and comes back, and then the
  // next one does. The other two thirds are a majority each time and take over.
  const world = new GroupWorld();
  const ids = await world.startGroup(6);
  await [0, 1, 2].reduce<Promise<void>>(async (before, zone) => {
    await before;
    const hosts = ids.filter((_, index) => index % 3 === zone);
    hosts.forEach((id) => world.crash(id));
    await world.run(SETTINGS.suspectTimeoutMs + TAKEOVER + 5_000);
    assertEveryKeyServed(world);
    hosts.forEach((id) => world.start(id));
    await world.run(15_000);
    assertEveryKeyServed(world);
  }, Promise.resolve());
  assert.deepEqual(storedMembers(world), [...ids]);
});

test('a leaving host is steward of nothing and named as draining within two seconds', async () => {
  // An operator takes a host out of service. Callers who ask for addresses and hosts that look for
  // a steward must not be sent to it any more, while it still ends what it has.
  const world = new GroupWorld();
  const ids = await world.startGroup(6);
  world.runner('h4').drain();
  await world.run(2_000);
  ids.forEach((id) => {
    const { members } = world.runner(id).view();
    assert.equal(members.find((member) => member.host === 'h4')?.draining, true);
    KEYS.forEach((key) => assert.notEqual(world.runner(id).stewardOf(key), 'h4'));
  });
  assert.equal(world.runner('h4').mayAct(), true);
  assertEveryKeyServed(world);
});

test('a path broken between two members removes neither', async () => {
  // Something between two hosts has lost track of them, while both reach everybody else. Thrown out
  // by one, the other would come back and be thrown out again, and keys would move all the time.
  const world = new GroupWorld();
  const ids = await world.startGroup(5);
  const { epoch } = world.runner('h1').view();
  world.isCut = (a, b) => [a, b].sort().join() === 'h1,h2';
  await world.run(MINUTE, 250);
  assert.equal(world.runner('h1').view().epoch, epoch);
  ids.forEach((id) => assert.equal(world.runner(id).mayAct(), true));
});

test('a record removed by hand is written again by those who still know it', async () => {
  // Somebody deletes the group's object. A host that starts then must join the group that runs
  // instead of beginning another one whose stewards would act beside the old ones.
  const world = new GroupWorld();
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
