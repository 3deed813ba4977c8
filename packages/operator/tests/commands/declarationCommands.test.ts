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
import { advanceUntilSettled, createOperator } from '../support/platform.ts';

const file = (text: string) => ({ file: 'fleet.toml', text });

const HIGHER_RATE_TOML = TOML.replace('tokens_per_second = 4000', 'tokens_per_second = 5000');

const versionOf = (result: CommandResult): number => (result.json as { version: number }).version;

function setUp() {
  const { clock, store, context } = createOperator();
  let ids = 0;
  const apply = (text: string, options: Partial<ApplyRequest> = {}): Promise<CommandResult> => {
    ids += 1;
    const req = { declarations: file(text), freshId: `fresh-${ids}`, ...options };
    return advanceUntilSettled(clock, applyCommand(context, req));
  };
  const diff = (text: string): Promise<CommandResult> =>
    advanceUntilSettled(clock, diffCommand(store, file(text)));
  return { store, apply, diff };
}

test('check distinguishes valid and invalid files by exit code', () => {
  assert.deepEqual(checkCommand(file(TOML)).json, { ok: true, teams: 1, pools: 1, services: 1 });
  const bad = checkCommand(file(TOML.replace('"decode"', '"x"')));
  assert.equal(bad.exitCode, EXIT.invalid);
  assert.match(bad.text, /^fleet\.toml:28: pools\[0\]\.engines\[1\]\.role: found "x"/);
});

test('diff shows what apply would change, and no differences from the configuration in force', async () => {
  const { apply, diff } = setUp();
  const first = await apply(TOML);
  assert.equal(first.exitCode, EXIT.ok);
  assert.equal((await diff(TOML)).exitCode, EXIT.ok);
  const differs = await diff(HIGHER_RATE_TOML);
  assert.equal(differs.exitCode, EXIT.refused);
  assert.match(differs.text, /~ team harbour\n {4}rate: .*4000.* -> .*5000/);
});

test('apply without a base does not replace the configuration in force', async () => {
  // An operator applies an outdated file, or one of another site, by mistake. If apply replaced the
  // configuration without a base, every team missing from the file would be lost silently.
  const { apply } = setUp();
  await apply(TOML);
  const refused = await apply(HIGHER_RATE_TOML);
  assert.equal(refused.exitCode, EXIT.refused);
  assert.match(refused.text, /Changed by both sides:\n {2}team harbour/);
});

test('apply with a base version is repeatable, and with base files a change can be reverted and redone', async () => {
  const { apply } = setUp();
  const baseVersion = versionOf(await apply(TOML));
  const second = versionOf(await apply(HIGHER_RATE_TOML, { baseVersion }));
  const again = await apply(HIGHER_RATE_TOML, { baseVersion });
  assert.deepEqual([again.exitCode, versionOf(again)], [EXIT.ok, second]);
  const back = await apply(TOML, { baseDeclarations: file(HIGHER_RATE_TOML) });
  const forth = await apply(HIGHER_RATE_TOML, { baseDeclarations: file(TOML) });
  assert.ok(versionOf(forth) > versionOf(back) && versionOf(back) > second);
});

test('apply and diff exit with code 3 while the platform is down', async () => {
  const { store, apply, diff } = setUp();
  store.setFaults({ down: true });
  assert.equal((await apply(TOML)).exitCode, EXIT.unavailable);
  assert.equal((await diff(TOML)).exitCode, EXIT.unavailable);
});

test('a new key is printed with its digest for the declarations', () => {
  const created = newKeyCommand(Buffer.alloc(32, 1));
  const { key, digest } = created.json as { key: string; digest: string };
  assert.ok(created.text.includes(key) && created.text.includes(digest));
});
