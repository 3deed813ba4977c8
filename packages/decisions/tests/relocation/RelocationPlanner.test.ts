import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@camphorvane/core';
import type { RelocationEngine, RelocationView, RunningStream } from '@camphorvane/decisions';
import { chooseBackup, forecastMemory, RelocationPlanner } from '@camphorvane/decisions';

const CAPACITY = 75_000;

const engine = (id: string, more: Partial<RelocationEngine> = {}): RelocationEngine => ({
  ...{ id, zone: 'a', capacityTokens: CAPACITY, slots: 12, streams: 0, reservedTokens: 0 },
  ...{ held: { tokens: 0, growthPerMs: 0 }, tokenMs: 0.55, eventTokens: 77 },
  ...{ isLeaving: false, isOpen: true },
  ...more,
});

const stream = (id: string, more: Partial<RunningStream> = {}): RunningStream => ({
  ...{ id, engine: 'full', heldTokens: 7_000, remainingTokens: 3_000, priority: 1, startedAt: 0 },
  ...{ longestPauseMs: 300, isPinned: false },
  ...more,
});

/** An engine with twelve streams that runs out of memory in some 300 ms. */
const FULL = engine('full', {
  ...{ streams: 12, reservedTokens: 70_000, held: { tokens: 68_500, growthPerMs: 21.8 } },
});

const TARGETS = ['t1', 't2', 't3', 't4'].map((id, i) => engine(id, { reservedTokens: i * 9_000 }));

const view = (more: Partial<RelocationView>): RelocationView => ({
  engines: [FULL, ...TARGETS],
  streams: [stream('s')],
  busySources: new Set(),
  ...more,
});

const random = new RandomSource(7);

/** Plans for one host; every call draws other numbers, as every host does. */
const plan = (more: Partial<RelocationView>) =>
  new RelocationPlanner(random).plan(view(more), 1_000);

/** Plans many times, since the number of moves is rounded at random. */
const plansOf = (more: Partial<RelocationView>, count = 400) =>
  Array.from({ length: count }, () => plan(more)).flat();

test('memory that runs out within the horizon is forecast', () => {
  const { runsOutMs, shortageTokens } = forecastMemory(FULL);
  assert.ok(runsOutMs > 290 && runsOutMs < 310, `${runsOutMs}`);
  assert.equal(Math.round(shortageTokens), 2_220);
  const roomy = { ...FULL, held: { tokens: 60_000, growthPerMs: 21.8 } };
  assert.deepEqual(forecastMemory(roomy), { runsOutMs: Infinity, shortageTokens: 0 });
});

// Guards against a move of a stream that the engine would not preempt: the engine preempts all the same.
test('the newest of the least urgent streams leaves an engine that runs out of memory', () => {
  const urgent = stream('urgent', { priority: 0, startedAt: 900 });
  const streams = [urgent, stream('older', { startedAt: 10 }), stream('newest', { startedAt: 20 })];
  const moves = plansOf({
    streams: [...streams, stream('pinned', { startedAt: 30, isPinned: true })],
  });
  assert.ok(moves.length > 0);
  assert.deepEqual([...new Set(moves.map((move) => move.stream))], ['newest']);
  assert.ok(moves.every(({ reason }) => reason === 'memory'));
});

// Guards against a herd: all hosts see the same shortage, and would all move a stream to the emptiest engine.
test('of 12 hosts that share a shortage, few move, and not all to the same engine', () => {
  const rounds = Array.from({ length: 200 }, () => plansOf({}, 12));
  const mean = rounds.flat().length / rounds.length;
  assert.ok(mean > 0.7 && mean < 1.3, `${mean} moves in a pass`);
  assert.ok(rounds.every((moves) => moves.length <= 6));
  const targets = rounds.flat().map(({ to }) => to);
  ['t1', 't2', 't3'].forEach((id) => {
    const share = targets.filter((to) => to === id).length / targets.length;
    assert.ok(share > 0.2, `${id} got ${share}`);
  });
  assert.ok(!targets.includes('t4'), 'a fuller engine was chosen');
});

test('a host that has all streams of the engine moves one at once', () => {
  assert.equal(plan({ streams: Array.from({ length: 12 }, (_, i) => stream(`s${i}`)) }).length, 1);
});

test('no stream moves without a target that has room for the whole rest of it', () => {
  const targets = [
    engine('reserved', { reservedTokens: 62_000 }),
    engine('held', { held: { tokens: 60_000, growthPerMs: 15 } }),
    engine('slots', { streams: 12 }),
    engine('closed', { isOpen: false }),
    engine('leaving', { isLeaving: true }),
    engine('slow', { tokenMs: 4 }),
  ];
  assert.deepEqual(plansOf({ engines: [FULL, ...targets] }), []);
});

test('no stream moves while memory suffices, or when it ends before the move pays off', () => {
  const calm = { ...FULL, held: { tokens: 60_000, growthPerMs: 21.8 } };
  assert.deepEqual(plansOf({ engines: [calm, ...TARGETS] }), []);
  assert.deepEqual(plansOf({ streams: [stream('s', { remainingTokens: 770 })] }), []);
  assert.deepEqual(plansOf({ busySources: new Set(['full']) }), []);
});

test('streams leave an engine that is leaving, one at a time', () => {
  const leaving = engine('full', { isLeaving: true, isOpen: false, streams: 2 });
  const moves = plan({ engines: [leaving, ...TARGETS], streams: [stream('s1'), stream('s2')] });
  assert.deepEqual(
    moves.map(({ reason }) => reason),
    ['leaving'],
  );
});

test('streams leave an engine whose events come slower than their pause allows', () => {
  const slow = engine('full', { tokenMs: 4, streams: 2 });
  const streams = [
    stream('s1', { longestPauseMs: undefined, eventMs: 308 }),
    stream('s2', { eventMs: 308 }),
    stream('read slowly', { eventMs: 50, startedAt: 10 }),
  ];
  const moves = plan({ engines: [slow, ...TARGETS], streams });
  assert.deepEqual(
    moves.map((move) => [move.stream, move.reason]),
    [['s2', 'slow']],
  );
});

test('a target in the same zone is preferred to a slightly emptier one', () => {
  const engines = [
    ...['a1', 'a2', 'a3'].map((id) => engine(id, { reservedTokens: 5_000 })),
    engine('b', { zone: 'b' }),
  ];
  assert.ok(plansOf({ engines: [FULL, ...engines] }).every(({ to }) => to !== 'b'));
});

// Guards against copies that take the memory of running streams, and against copies of streams that can be
// prefilled again while others would be cut off.
test('a quarter of the streams get a copy, those that cannot be resumed otherwise first', () => {
  const candidate = {
    engine: 't1',
    promptTokens: 5_000,
    expectedTokens: 5_000,
    isResumable: false,
  };
  const counts = { streams: 15, copies: 2, meanPromptTokens: 5_000 };
  const choose = (more: object, countsNow: object = {}, engines = TARGETS) =>
    chooseBackup({ ...candidate, ...more }, { ...counts, ...countsNow }, engines, random);
  const chosen = choose({});
  assert.ok(chosen !== undefined && chosen !== 't1');
  assert.equal(choose({}, { copies: 4 }), undefined);
  assert.equal(choose({ isResumable: true }), undefined);
  assert.ok(choose({ isResumable: true }, { copies: 1 }) !== undefined);
  assert.equal(choose({ isResumable: true, promptTokens: 4_000 }, { copies: 1 }), undefined);
  const fuller = TARGETS.map((one) => ({ ...one, reservedTokens: 51_000 }));
  assert.equal(choose({}, {}, fuller), undefined, 'an engine was filled by copies');
});

// Guards against a running stream that moves, or is copied, to an engine whose events don't fit to those before.
test('a stream moves, and is copied, to engines of its software version only', () => {
  const versions = ['v1', 'v2', 'v2', 'v2'].map((name) => ({ type: 'known', name }) as const);
  const targets = TARGETS.map((one, i) => ({ ...one, softwareVersion: versions[i] }));
  const binding = { type: 'bound', version: 'v1' } as const;
  const moves = plansOf({ engines: [FULL, ...targets], streams: [stream('s', { binding })] });
  assert.ok(moves.length > 0);
  assert.deepEqual([...new Set(moves.map(({ to }) => to))], ['t1']);
  const candidate = { engine: 'full', promptTokens: 5_000, expectedTokens: 700, binding };
  const counts = { streams: 40, copies: 0, meanPromptTokens: 100 };
  const copies = Array.from({ length: 50 }, () =>
    chooseBackup({ ...candidate, isResumable: true }, counts, targets, random),
  );
  assert.deepEqual([...new Set(copies)], ['t1']);
});
