import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  UNUSED_BLOB_GRACE_MS,
  applyConfig,
  diffConfigs,
  readAcceptedConfig,
} from '@camphorvane/operator';
import { CHUNK_KIND, CONFIG_KIND, ROOT_NAME } from '@camphorvane/store';
import fc from 'fast-check';
import {
  configOf,
  advanceUntilSettled,
  errorOf,
  createOperator,
  team,
  valueOf,
} from '../support/platform.ts';

const FIRST = { changeId: 'first', base: { type: 'none' } } as const;

const basedOn = (changeId: string, version: number, merge = false) =>
  ({ changeId, base: { type: 'version', version }, merge }) as const;

test('an applied configuration gets a version and can be read back', async () => {
  const { clock, store, apply } = createOperator();
  const config = configOf(team('a'), team('b'));
  const applied = valueOf(await apply(config, FIRST));
  assert.equal(applied.outcome, 'applied');
  const read = valueOf(await advanceUntilSettled(clock, readAcceptedConfig(store)));
  assert.equal(read?.version, applied.version);
  assert.deepEqual(diffConfigs(config, read.config), []);
});

test('applying a change twice has no further effect, even after later changes', async () => {
  const { apply } = createOperator();
  const first = valueOf(await apply(configOf(team('a')), FIRST));
  const second = configOf(team('a'), team('b'));
  const inForce = valueOf(await apply(second, basedOn('second', first.version))).version;
  const again = valueOf(await apply(configOf(team('a')), FIRST));
  const { version } = first;
  assert.deepEqual(again, { version, outcome: 'already_applied', inForce, changes: [] });
  const reused = errorOf(await apply(configOf(team('z')), FIRST));
  assert.deepEqual(reused, { type: 'change_id_reused', version: first.version });
});

test('a change whose response is lost is found by reading the root', async () => {
  // The root is written but the response is lost. Reported as a failure, the change would be applied
  // again to an outdated base, or a withdrawn key would be believed to be still valid.
  const { clock, store, context, apply } = createOperator();
  const first = valueOf(await apply(configOf(team('a')), FIRST));
  const pending = applyConfig(context, configOf(team('a', 2)), basedOn('second', first.version));
  const isWritten = () =>
    store.snapshot().some((o) => o.kind === 'config-manifest' && o.version > 4);
  while (!isWritten()) await clock.advance(1);
  store.setFaults({ lostAnswers: 1 });
  const applied = valueOf(await advanceUntilSettled(clock, pending));
  assert.equal(applied.outcome, 'already_applied');
  assert.equal(store.faults.lostAnswers, 0);
  const root = valueOf(await advanceUntilSettled(clock, store.get(CONFIG_KIND, ROOT_NAME)));
  assert.equal(root?.version, applied.version);
});

test('a change takes effect once and its outcome is reported correctly, whichever responses are lost', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 0, max: 4 }),
      fc.integer({ min: 0, max: 60 }),
      async (n, at) => {
        const { clock, store, context } = createOperator();
        const pending = applyConfig(context, configOf(team('a'), team('b')), FIRST);
        await clock.advance(at);
        store.setFaults({ lostAnswers: n });
        const { version } = valueOf(await advanceUntilSettled(clock, pending));
        const roots = store.snapshot().filter((object) => object.kind === CONFIG_KIND);
        assert.deepEqual(
          roots.map((root) => root.version),
          [version],
        );
      },
    ),
    { seed: 11, numRuns: 60 },
  );
});

test('apply reports that nothing was accepted while the platform is down', async () => {
  const { store, apply } = createOperator();
  store.setFaults({ down: true });
  assert.equal(errorOf(await apply(configOf(team('a')), FIRST)).type, 'unavailable');
});

test('the outcome is unknown if the platform fails after the write, and a later run determines it', async () => {
  // The root is sent and the platform goes down before it responds. Neither "applied" nor "failed" would
  // be correct; a retry with the same change id finds the outcome once the platform is back.
  const { clock, store, context, apply } = createOperator();
  const pending = applyConfig(context, configOf(team('a')), FIRST);
  const isWritten = () => store.snapshot().some((object) => object.kind === 'config-manifest');
  while (!isWritten()) await clock.advance(1);
  store.setFaults({ lostAnswers: 1 });
  while (store.faults.lostAnswers > 0) await clock.advance(1);
  store.setFaults({ down: true });
  const unknown = errorOf(await advanceUntilSettled(clock, pending));
  assert.deepEqual(unknown, { type: 'outcome_unknown', changeId: 'first' });
  store.setFaults({ down: false });
  assert.equal(valueOf(await apply(configOf(team('a')), FIRST)).outcome, 'already_applied');
});

test('of two concurrent changes one is accepted and one gets a conflict with the items both changed', async () => {
  // Both set the weight of one team, concurrently and from the same base version. Without a conflict the
  // later write would silently overwrite the earlier one.
  const { clock, context, apply } = createOperator();
  const { version } = valueOf(await apply(configOf(team('a'), team('b')), FIRST));
  const mine = configOf(team('a', 2), team('b'), team('c'));
  const theirs = configOf(team('a', 3), team('b', 5));
  const results = await advanceUntilSettled(
    clock,
    Promise.all([
      applyConfig(context, mine, basedOn('mine', version, true)),
      applyConfig(context, theirs, basedOn('theirs', version, true)),
    ]),
  );
  assert.equal(results.filter((result) => result.isOk()).length, 1);
  const error = errorOf(results.find((result) => result.isErr())!);
  assert.ok(error.type === 'conflict');
  assert.deepEqual(error.both, ['team a']);
});

test('changes of different items are merged, but only with the merge option', async () => {
  const { clock, store, apply } = createOperator();
  const { version } = valueOf(await apply(configOf(team('a'), team('b')), FIRST));
  valueOf(await apply(configOf(team('a'), team('b', 5)), basedOn('theirs', version)));
  const mine = configOf(team('a', 2), team('b'), team('c'));
  const refused = errorOf(await apply(mine, basedOn('mine', version)));
  assert.ok(refused.type === 'conflict');
  assert.deepEqual(refused.both, []);
  assert.deepEqual(
    refused.theirs.map((change) => change.item),
    ['team b'],
  );
  valueOf(await apply(mine, basedOn('mine', version, true)));
  const read = valueOf(await advanceUntilSettled(clock, readAcceptedConfig(store)));
  const expected = configOf(team('a', 2), team('b', 5), team('c'));
  assert.deepEqual(diffConfigs(expected, read!.config), []);
});

test('a merge that would leave a dangling reference is refused', async () => {
  // One operator removes a team while another adds a wait rule for it. Each change is valid by itself;
  // the merged configuration has a rule for an unknown team.
  const { apply } = createOperator();
  const base = configOf(team('a'), team('b'));
  const { version } = valueOf(await apply(base, FIRST));
  valueOf(await apply(configOf(team('a')), basedOn('theirs', version)));
  const waitRules = [{ team: 'b', class: 'summary', maxWaitMs: 1000 }] as const;
  const refused = errorOf(await apply({ ...base, waitRules }, basedOn('mine', version, true)));
  assert.equal(refused.type, 'invalid');
});

test('an unknown base version is refused, and a base given by its contents is accepted', async () => {
  const { apply } = createOperator();
  const base = configOf(team('a'));
  valueOf(await apply(base, FIRST));
  assert.equal(errorOf(await apply(configOf(), basedOn('x', 999))).type, 'base_unknown');
  const options = { changeId: 'y', base: { type: 'config', config: base } } as const;
  assert.equal(valueOf(await apply(configOf(team('a', 2)), options)).outcome, 'applied');
});

test('a part over the size limit of the platform is refused before anything is written', async () => {
  const { store, apply } = createOperator();
  const keyDigests = Array.from({ length: 12_000 }, (_, i) => String(i).padStart(64, '0'));
  const error = errorOf(await apply(configOf({ ...team('a'), keyDigests }), FIRST));
  assert.equal(error.type, 'part_too_large');
  assert.deepEqual(store.snapshot(), []);
});

test('unreferenced parts are deleted after an hour, but not those in use or recently written', async () => {
  const { clock, store, apply } = createOperator();
  const put = async (name: string) =>
    advanceUntilSettled(
      clock,
      store.put(CHUNK_KIND, name, { text: '', touchedAt: clock.wall() }, 'absent'),
    );
  const hex = [...'0123456789abcdef'];
  await Promise.all(hex.map((digit) => put(`${digit}-old`)));
  let { version } = valueOf(await apply(configOf(team('a')), FIRST));
  await clock.advance(UNUSED_BLOB_GRACE_MS + 1000);
  await Promise.all(hex.map((digit) => put(`${digit}-new`)));
  const changes = Array.from({ length: 60 }, (_, i) => i);
  await changes.reduce(async (before, i) => {
    await before;
    ({ version } = valueOf(await apply(configOf(team('a', i + 2)), basedOn(`c${i}`, version))));
  }, Promise.resolve());
  const names = store.snapshot().map((object) => object.name);
  assert.equal(names.filter((name) => name.endsWith('-new')).length, 16);
  assert.equal(names.filter((name) => name.endsWith('-old')).length, 0);
  assert.ok(valueOf(await advanceUntilSettled(clock, readAcceptedConfig(store))));
});

test('a diff lists each changed item with its changed fields', () => {
  const before = configOf(team('a'), team('b'));
  const after = configOf(team('a', 2), team('c'));
  assert.deepEqual(diffConfigs(before, after), [
    {
      item: 'team a',
      kind: 'changed',
      fields: [{ field: 'weight', before: '1', after: '2' }],
    },
    { item: 'team b', kind: 'removed', fields: [] },
    { item: 'team c', kind: 'added', fields: [] },
  ]);
});
