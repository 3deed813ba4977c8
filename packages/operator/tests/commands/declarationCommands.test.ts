import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  EXIT,
  applyCommand,
  checkCommand,
  diffCommand,
  newKeyCommand,
  type ApplyRequest,
  type CommandResult,
} from '@camphorvane/operator';
import { TOML } from '../support/declarations.ts';
import { drive, operatorOn } from '../support/platform.ts';

const file = (text: string) => ({ file: 'fleet.toml', text });

const HEAVIER = TOML.replace('tokens_per_second = 4000', 'tokens_per_second = 5000');

const versionOf = (result: CommandResult): number => (result.json as { version: number }).version;

function setUp() {
  const { clock, store, context } = operatorOn();
  let ids = 0;
  const apply = (text: string, more: Partial<ApplyRequest> = {}): Promise<CommandResult> => {
    ids += 1;
    const req = { declarations: file(text), freshId: `fresh-${ids}`, ...more };
    return drive(clock, applyCommand(context, req));
  };
  const diff = (text: string): Promise<CommandResult> =>
    drive(clock, diffCommand(store, file(text)));
  return { store, apply, diff };
}

test('check tells a sound file from a faulty one by its exit code', () => {
  assert.deepEqual(checkCommand(file(TOML)).json, { ok: true, teams: 1, pools: 1, services: 1 });
  const bad = checkCommand(file(TOML.replace('"decode"', '"x"')));
  assert.equal(bad.exitCode, EXIT.invalid);
  assert.match(bad.text, /^fleet\.toml:28: pools\[0\]\.engines\[1\]\.role: found "x"/);
});

test('diff shows what apply would change, and nothing once it is in force', async () => {
  const { apply, diff } = setUp();
  const first = await apply(TOML);
  assert.equal(first.exitCode, EXIT.ok);
  assert.equal((await diff(TOML)).exitCode, EXIT.ok);
  const differs = await diff(HEAVIER);
  assert.equal(differs.exitCode, EXIT.refused);
  assert.match(differs.text, /~ team harbour\n {4}rate: .*4000.* -> .*5000/);
});

test('an apply that starts from nothing does not replace what is in force', async () => {
  // An operator applies the file of another site by mistake, or an old copy. Without the base the
  // fleet would silently lose every team that the file does not know.
  const { apply } = setUp();
  await apply(TOML);
  const refused = await apply(HEAVIER);
  assert.equal(refused.exitCode, EXIT.refused);
  assert.match(refused.text, /Changed by both sides:\n {2}team harbour/);
});

test('an apply from a version can be run again, and one from a file can go back and forth', async () => {
  const { apply } = setUp();
  const baseVersion = versionOf(await apply(TOML));
  const second = versionOf(await apply(HEAVIER, { baseVersion }));
  const again = await apply(HEAVIER, { baseVersion });
  assert.deepEqual([again.exitCode, versionOf(again)], [EXIT.ok, second]);
  const back = await apply(TOML, { baseDeclarations: file(HEAVIER) });
  const forth = await apply(HEAVIER, { baseDeclarations: file(TOML) });
  assert.ok(versionOf(forth) > versionOf(back) && versionOf(back) > second);
});

test('with the platform down apply and diff say so by exit code 3', async () => {
  const { store, apply, diff } = setUp();
  store.setFaults({ down: true });
  assert.equal((await apply(TOML)).exitCode, EXIT.unavailable);
  assert.equal((await diff(TOML)).exitCode, EXIT.unavailable);
});

test('a new key is shown with the digest that the declarations take', () => {
  const made = newKeyCommand(Buffer.alloc(32, 1));
  const { key, digest } = made.json as { key: string; digest: string };
  assert.ok(made.text.includes(key) && made.text.includes(digest));
});
