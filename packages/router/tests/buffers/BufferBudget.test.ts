import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BufferKind } from '@camphorvane/core';
import { BufferBudget } from '../../src/buffers/BufferBudget.ts';

const MB = 1024 * 1024;

/** Reserves 1 MB for each of many owners until nothing more is granted, and returns how many MB were. */
function fill(budget: BufferBudget, kind: BufferKind): number {
  return Array.from({ length: 100 }, (_, owner) => budget.tryReserve(kind, `${owner}`, MB)).filter(
    (granted) => granted !== undefined,
  ).length;
}

test('a host of 128 MB holds 32 MB in total, and at most half of it for responses', () => {
  assert.equal(fill(new BufferBudget(128), 'request'), 32);
  const budget = new BufferBudget(128);
  assert.equal(fill(budget, 'response'), 16);
  assert.equal(fill(budget, 'stream'), 8);
  // Guards against slow callers that take the room of all new requests.
  assert.equal(fill(budget, 'request'), 8);
});

test('one caller holds a sixteenth of the total, one upstream a quarter', () => {
  const budget = new BufferBudget(128);
  const grants = (kind: BufferKind): number =>
    Array.from({ length: 20 }, () => budget.tryReserve(kind, 'one', MB)).filter(Boolean).length;
  assert.equal(grants('request'), 2);
  assert.equal(grants('response'), 8);
  assert.equal(grants('sent'), 8);
});

// Guards against a body that the operators allow, but that no host would ever admit.
test('a body above the part of its caller is admitted while the caller holds nothing else', () => {
  const budget = new BufferBudget(128);
  const large = budget.tryReserve('request', 'one', 3 * MB);
  assert.notEqual(large, undefined);
  assert.equal(budget.tryReserve('request', 'one', 1), undefined);
  large?.release();
  assert.notEqual(budget.tryReserve('request', 'one', 1), undefined);
});

// Guards against bytes that are returned twice, or taken again after the request has ended.
test('a reservation grows until it is released, and returns its bytes once', () => {
  const budget = new BufferBudget(128);
  const other = budget.tryReserve('request', 'two', MB);
  const reservation = budget.tryReserve('request', 'one', 0);
  assert.equal(reservation?.tryGrow(MB), true);
  reservation.release();
  reservation.release();
  assert.equal(reservation.tryGrow(1), false);
  assert.equal(budget.getTotal(), MB);
  other?.release();
  assert.equal(budget.getTotal(), 0);
  assert.equal(budget.countOwners(), 0);
});
