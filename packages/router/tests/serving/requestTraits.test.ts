import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isSharedDigest } from '@camphorvane/decisions';
import { sharedPartsOf, sharedTraitsOf } from '../../src/serving/requestTraits.ts';

const partsOf = (...ids: readonly string[]): readonly { id: string; tokens: number }[] =>
  ids.map((id) => ({ id, tokens: 10 }));

test('the parts of a prompt but the last are traits of the service', () => {
  const [a, b] = sharedPartsOf('s', partsOf('p', 'q', 'own'));
  assert.deepEqual(sharedPartsOf('s', partsOf('q', 'q', 'x', 'other')).slice(0, 1), [b]);
  assert.notEqual(sharedPartsOf('t', partsOf('p', 'own'))[0], a);
  assert.deepEqual(sharedPartsOf('s', partsOf('p')), []);
  assert.ok([a, b].every((trait) => trait !== undefined && isSharedDigest(trait)));
  assert.equal(
    sharedPartsOf('s', partsOf(...Array.from({ length: 40 }, (_, n) => `${n}`))).length,
    16,
  );
});

test('text prompts share how they begin', () => {
  const start = 'x'.repeat(1_024);
  const [one = ''] = sharedTraitsOf('m', `${start} and something`);
  assert.deepEqual(sharedTraitsOf('m', `${start} and more`), [one]);
  assert.deepEqual(sharedTraitsOf('m', 'short'), []);
});
