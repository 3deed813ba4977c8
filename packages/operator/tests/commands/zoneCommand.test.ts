import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CommandResult, ZoneRequest } from '@camphorvane/operator';
import { EXIT, applyCommand, readAccepted, zoneCommand } from '@camphorvane/operator';
import { TOML } from '../support/declarations.ts';
import { drive, operatorOn } from '../support/platform.ts';

function setUp() {
  const { clock, store, context } = operatorOn();
  let ids = 0;
  const freshId = (): string => {
    ids += 1;
    return `fresh-${ids}`;
  };
  const apply = (text: string): Promise<CommandResult> => {
    const req = { declarations: { file: 'fleet.toml', text }, freshId: freshId() };
    return drive(clock, applyCommand(context, req));
  };
  const change = (action: ZoneRequest['action'], zone: string): Promise<CommandResult> =>
    drive(clock, zoneCommand(context, { action, zone, freshId: freshId() }));
  const drained = async (): Promise<readonly string[] | undefined> => {
    const accepted = await drive(clock, Promise.resolve(readAccepted(store)));
    return accepted._unsafeUnwrap()?.config.drainedZones;
  };
  return { apply, change, drained };
}

test('a zone is drained and restored, and all else stays as it is', async () => {
  const { apply, change, drained } = setUp();
  assert.equal((await apply(TOML)).exitCode, EXIT.ok);
  const first = await change('drain', 'a');
  assert.equal(first.exitCode, EXIT.ok);
  assert.match(first.text, /\+ drained zone a/);
  assert.deepEqual(await drained(), ['a']);
  assert.match((await change('drain', 'a')).text, /nothing to change/);
  assert.match((await change('restore', 'a')).text, /- drained zone a/);
  assert.deepEqual(await drained(), []);
});

// Guards against a drain that has no effect since the zone's name was misspelt.
test('a zone in which there is no upstream is not drained', async () => {
  const { apply, change, drained } = setUp();
  await apply(TOML);
  const refused = await change('drain', 'nowhere');
  assert.equal(refused.exitCode, EXIT.invalid);
  assert.match(refused.text, /drained_zones/);
  assert.deepEqual(await drained(), []);
});

test('before the first configuration there is nothing to drain', async () => {
  const { change } = setUp();
  assert.equal((await change('drain', 'a')).exitCode, EXIT.refused);
});

test('a drained zone can be declared, and unknown ones are faults', async () => {
  const { apply, drained } = setUp();
  const bad = await apply(`drained_zones = ["x"]\n${TOML}`);
  assert.equal(bad.exitCode, EXIT.invalid);
  assert.match(bad.text, /drained_zones\[0\]: found "x"/);
  assert.equal((await apply(`drained_zones = ["a"]\n${TOML}`)).exitCode, EXIT.ok);
  assert.deepEqual(await drained(), ['a']);
});
