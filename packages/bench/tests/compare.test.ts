import assert from 'node:assert/strict';
import { test } from 'node:test';
import { compare, formatTable } from '@camphorvane/bench';
import { shipped } from './support/workloads.ts';

test('the same seed gives the same table, byte for byte, and another seed another', () => {
  const table = (seed: number): string =>
    formatTable([compare({ ...shipped('tasman-calm'), seconds: 10 }, [seed])]);
  assert.equal(table(7), table(7));
  assert.notEqual(table(7), table(8));
});
