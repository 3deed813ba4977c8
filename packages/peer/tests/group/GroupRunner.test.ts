import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedGroup, KEYS } from '../support/SimulatedGroup.ts';

test('hosts that start together form one group in which every key has one coordinator', async () => {
  const world = new SimulatedGroup();
  const ids = await world.startGroup(6);
  ids.forEach((id) => {
    assert.deepEqual(world.membersAt(id), ids);
    assert.equal(world.runner(id).mayAct(), true);
  });
  KEYS.forEach((key) => assert.equal(world.coordinatorsOf(key).length, 1, key));
});

test('a listener is notified of the permission to act and of a new member', async () => {
  const world = new SimulatedGroup();
  const first = world.start('h1');
  const seen: string[] = [];
  const stopListening = first.runner.onChange((view) => {
    seen.push(`${view.members.length} ${view.mayAct}`);
  });
  await world.run(5_000);
  world.start('h2');
  await world.run(5_000);
  stopListening();
  assert.deepEqual([...new Set(seen)], ['1 true', '2 true']);
});
