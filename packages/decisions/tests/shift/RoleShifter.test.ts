import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RoleShifter, type ShiftableEngine } from '@camphorvane/decisions';

const NEEDS_PREFILL = { prefill: 0.9, decode: 0 };
const NEEDS_DECODE = { prefill: 0, decode: 0.9 };

const engines = (prefills: number, decodes: number, holders = 0): readonly ShiftableEngine[] => [
  ...[...Array(prefills).keys()].map(
    (n) => ({ id: `p${n}`, role: 'prefill', up: true, holders }) as const,
  ),
  ...[...Array(decodes).keys()].map(
    (n) => ({ id: `d${n}`, role: 'decode', up: true, holders }) as const,
  ),
];

test('empties an engine before it orders the new role, with the fencing number of the day', () => {
  const shifter = new RoleShifter();
  assert.deepEqual(shifter.decide(engines(1, 3, 2), NEEDS_PREFILL, 7, 0), []);
  assert.deepEqual(shifter.decide(engines(1, 3, 2), NEEDS_PREFILL, 7, 15_000), [
    { type: 'drain', engine: 'd0' },
  ]);
  assert.deepEqual(shifter.decide(engines(1, 3, 1), NEEDS_PREFILL, 8, 16_000), []);
  assert.deepEqual(shifter.decide(engines(1, 3, 0), NEEDS_PREFILL, 8, 17_000), [
    { type: 'order_role', engine: 'd0', role: 'prefill', fence: 8 },
  ]);
  assert.deepEqual(shifter.decide(engines(1, 3, 0), NEEDS_PREFILL, 8, 18_000), []);
});

test('does not swing with bursts', () => {
  // Lookups come in bursts every few seconds and each is short of prefill for a moment. Moving an
  // engine each time would cost its caches and its streams' memory, and callers would see the
  // time between tokens jump.
  const shifter = new RoleShifter();
  const decided = [...Array(100).keys()].flatMap((n) =>
    shifter.decide(engines(2, 3), n % 2 === 0 ? NEEDS_PREFILL : NEEDS_DECODE, 1, n * 10_000),
  );
  assert.deepEqual(decided, []);
});

test('never takes the last engine of a role, nor counts one that is down as a rest', () => {
  const shifter = new RoleShifter();
  const oneUp = engines(1, 2).map((engine) => ({ ...engine, up: engine.id !== 'd1' }));
  const decided = [...Array(100).keys()].flatMap((n) =>
    shifter.decide(oneUp, NEEDS_PREFILL, 1, n * 10_000),
  );
  assert.deepEqual(decided, []);
});

test('moves at most one engine at a time and gives up on one that never empties', () => {
  const shifter = new RoleShifter();
  const busy = engines(1, 5, 3);
  shifter.decide(busy, NEEDS_PREFILL, 1, 0);
  const decided = [15_000, 30_000, 100_000, 136_000].flatMap((now) =>
    shifter.decide(busy, NEEDS_PREFILL, 1, now),
  );
  assert.deepEqual(decided, [
    { type: 'drain', engine: 'd0' },
    { type: 'undrain', engine: 'd0' },
  ]);
});
