import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { readHostRecord } from '../../src/coordination/hostRecord.ts';

const SEED = 56;

const SOUND = {
  ...{ host: 'h-1', incarnation: 'i', zone: 'a', leaving: false, strength: 2, beat: 4 },
  ...{ callerAddress: '10.0.0.1:80', peerAddress: '[::1]:81' },
  quarantine: { at: 1, crashes: [{ digest: 'd', upstream: 's-1', ageMs: 5, whole: true }] },
};

const read = (value: unknown) => readHostRecord({ kind: 'hosts', name: 'h-1', version: 1, value });

test('a sound record is read, also one of an earlier program without a quarantine', () => {
  const { beat, ...record } = SOUND;
  const { quarantine, ...earlier } = record;
  const withShared = { ...record, quarantine: { ...quarantine, shared: [] } };
  assert.deepEqual(read({ ...record, beat })._unsafeUnwrap(), withShared);
  assert.deepEqual(read(earlier)._unsafeUnwrap(), earlier);
});

// Guards against a record whose address is none: each host sends hints there, and callers are told of it.
test('a record with an address that is none is refused, with the field named', () => {
  [
    'nonsense',
    'h:0',
    'h:70000',
    'h:1:2',
    '127.0.0.300:80',
    ':1',
    'a b:1',
    'h:x',
    '',
    5,
    null,
    'x'.repeat(400),
  ].forEach((address) => {
    const refused = [
      read({ ...SOUND, peerAddress: address })._unsafeUnwrapErr(),
      read({ ...SOUND, callerAddress: address })._unsafeUnwrapErr(),
    ];
    assert.match(refused[0] ?? '', /^peerAddress: /);
    assert.match(refused[1] ?? '', /^callerAddress: /);
  });
});

// Guards against spoiled values that reach the roster or the quarantine: texts, counts and times that are none.
test('whatever a record holds, what is read of it is well-formed', () => {
  const spoiled = fc.anything({ withNullPrototype: true, maxDepth: 2 });
  const isCount = (value: unknown): boolean => Number.isFinite(value) && Number(value) >= 0;
  const check = (value: unknown): void => {
    const result = read(value);
    if (result.isErr()) return;
    const { host, zone, peerAddress, leaving, strength, quarantine } = result.value;
    [host, zone, peerAddress].forEach((text) => assert.equal(typeof text, 'string'));
    assert.match(peerAddress, /^[^\s]+:\d{1,5}$/);
    assert.equal(typeof leaving, 'boolean');
    assert.ok(isCount(strength));
    [...(quarantine?.crashes ?? []), ...(quarantine?.shared ?? [])].forEach((crash) =>
      assert.ok(isCount(crash.ageMs) && isCount(quarantine?.at)),
    );
  };
  const field = fc.constantFrom(...Object.keys(SOUND));
  const oneField = fc.record({ field, value: spoiled });
  const crashes = fc.record({ at: spoiled, crashes: fc.array(spoiled), shared: spoiled });
  const options = { seed: SEED, numRuns: 1_000 };
  fc.assert(fc.property(spoiled, check), options);
  fc.assert(
    fc.property(oneField, (one) => check({ ...SOUND, [one.field]: one.value })),
    options,
  );
  fc.assert(
    fc.property(crashes, (quarantine) => check({ ...SOUND, quarantine })),
    options,
  );
});

// Guards against a record of another writer nested so deeply that its reader exceeds the stack.
test('a deeply nested value in a record is refused, or ignored', () => {
  const deep = JSON.parse(`${'['.repeat(100_000)}${']'.repeat(100_000)}`) as unknown;
  assert.ok(read(deep).isErr());
  ['host', 'zone', 'peerAddress'].forEach((field) =>
    assert.ok(read({ ...SOUND, [field]: deep }).isErr(), field),
  );
  const { quarantine } = SOUND;
  assert.deepEqual(read({ ...SOUND, odd: deep }), read(SOUND));
  assert.equal(read({ ...SOUND, quarantine: deep })._unsafeUnwrap().quarantine, undefined);
  const crashes = [deep, ...quarantine.crashes];
  assert.deepEqual(read({ ...SOUND, quarantine: { at: 1, crashes } }), read(SOUND));
});
