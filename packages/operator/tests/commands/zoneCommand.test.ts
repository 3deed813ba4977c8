import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CommandResult, ZoneRequest } from '@camphorvane/operator';
import { EXIT, applyCommand, readAcceptedConfig, zoneCommand } from '@camphorvane/operator';
import { TOML } from '../support/declarations.ts';
import { advanceUntilSettled, createOperator } from '../support/platform.ts';

function setUp() {
  const { clock, store, context } = createOperator();
  let ids = 0;
  const freshId = (): string => {
    ids += 1;
    return `fresh-${ids}`;
  };
  const apply = (text: string): Promise<CommandResult> => {
    const req = { declarations: { file: 'fleet.toml', text }, freshId: freshId() };
    return advanceUntilSettled(clock, applyCommand(context, req));
  };
  const runZoneCommand = (action: ZoneRequest['action'], zone: string): Promise<CommandResult> =>
    advanceUntilSettled(clock, zoneCommand(context, { action, zone, freshId: freshId() }));
  const readDrainedZones = async (): Promise<readonly string[] | undefined> => {
    const accepted = await advanceUntilSettled(clock, Promise.resolve(readAcceptedConfig(store)));
    return accepted._unsafeUnwrap()?.config.drainedZones;
  };
  return { apply, runZoneCommand, readDrainedZones };
}

test('a zone is drained and restored', async () => {
  const { apply, runZoneCommand, readDrainedZones } = setUp();
  assert.equal((await apply(TOML)).exitCode, EXIT.ok);
  const first = await runZoneCommand('drain', 'a');
  assert.equal(first.exitCode, EXIT.ok);
  assert.match(first.text, /\+ drained zone a/);
  assert.deepEqual(await readDrainedZones(), ['a']);
  assert.match((await runZoneCommand('drain', 'a')).text, /nothing to change/);
  assert.match((await runZoneCommand('restore', 'a')).text, /- drained zone a/);
  assert.deepEqual(await readDrainedZones(), []);
});

// Guards against a drain without effect because the zone's name is misspelt.
test('a drain of a zone without upstreams is refused', async () => {
  const { apply, runZoneCommand, readDrainedZones } = setUp();
  await apply(TOML);
  const refused = await runZoneCommand('drain', 'nowhere');
  assert.equal(refused.exitCode, EXIT.invalid);
  assert.match(refused.text, /drained_zones/);
  assert.deepEqual(await readDrainedZones(), []);
});

test('a drain before the first configuration is refused', async () => {
  const { runZoneCommand } = setUp();
  assert.equal((await runZoneCommand('drain', 'a')).exitCode, EXIT.refused);
});

test('drained zones can be declared, and unknown ones are errors', async () => {
  const { apply, readDrainedZones } = setUp();
  const bad = await apply(`drained_zones = ["x"]\n${TOML}`);
  assert.equal(bad.exitCode, EXIT.invalid);
  assert.match(bad.text, /drained_zones\[0\]: found "x"/);
  assert.equal((await apply(`drained_zones = ["a"]\n${TOML}`)).exitCode, EXIT.ok);
  assert.deepEqual(await readDrainedZones(), ['a']);
});
