import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import fc from 'fast-check';
import { RelocationWorld } from '../support/RelocationWorld.ts';
import type { CallFault, WorldScript } from '../support/WorldEngine.ts';
import { EVENT_COUNT, EVENT_MS } from '../support/WorldEngine.ts';

const ALL_POSITIONS = Array.from({ length: EVENT_COUNT }, (_, i) => i);

/** Longer pauses make a stream late. */
const LONGEST_PAUSE_MS = 300;

/** Milliseconds for which the response to a stop is awaited after the stream has closed, and two calls. */
const RESPONSE_WAIT_MS = 102;

const MOVE_AT_MS = 10 * EVENT_MS;

/** Runs a stream to its end; the move starts after ten events. */
async function runStream(script: WorldScript, moveAt = MOVE_AT_MS): Promise<RelocationWorld> {
  const world = new RelocationWorld(script);
  await world.startMoves(moveAt);
  await world.clock.advance(EVENT_COUNT * (EVENT_MS + (script.readMs ?? 0)) + 2_000);
  return world;
}

function assertWhole(world: RelocationWorld): void {
  assert.equal(world.ending, 'done');
  assert.deepEqual(world.positions, ALL_POSITIONS);
  assert.equal(world.mostWorking, 1, 'two engines worked on the request at a time');
}

test('a stream moves to another engine within one response, and its reservation follows', async () => {
  const world = await runStream({});
  assertWhole(world);
  assert.ok(world.longestPause < 3 * EVENT_MS, `a pause of ${world.longestPause} ms`);
  assert.equal(world.getReservedEngine(), 'target');
  assert.deepEqual(world.released, ['source/h1'], 'the first copy was not released');
});

// Guards against moves that no retry budget pays: the engine that a stream moves to counts it as one more request.
test('a move counts as a further run, and a stream whose budget is spent stays where it is', async () => {
  const moved = await runStream({});
  assert.equal(moved.furtherRuns, 1);
  const unpaid = new RelocationWorld({});
  unpaid.allowedRuns = 0;
  await unpaid.startMoves(MOVE_AT_MS);
  await unpaid.clock.advance(EVENT_COUNT * EVENT_MS + 2_000);
  assertWhole(unpaid);
  assert.equal(`${unpaid.getReservedEngine()} ${unpaid.furtherRuns}`, 'source 0');
});

// Guards against duplicates if the new engine starts at an earlier event than it was asked to.
test('events that the new engine repeats are delivered once', async () => {
  assertWhole(await runStream({ repeats: 3 }));
});

// Guards against a stop that is taken for the end of the stream, as a body without a length ends with its
// connection.
test('a stopped stream whose end is not marked goes on at the other engine', async () => {
  assertWhole(await runStream({ hasUnmarkedEnd: true }));
});

const BEFORE_THE_STOP: readonly CallFault[] = ['refused', 'no_room', 'response_lost', 'call_lost'];

// Guards against a stream that is lost, and a copy that is kept, when no copy can be made.
BEFORE_THE_STOP.forEach((copy) =>
  test(`the run stays where it is when the first copy fails: ${copy}`, async () => {
    const world = await runStream({ copy });
    assertWhole(world);
    assert.equal(world.getReservedEngine(), 'source');
  }),
);

const AT_THE_STOP: readonly (readonly [CallFault, string])[] = [
  ['no_room', 'source'],
  ['expired', 'source'],
  ['response_lost', 'target'],
  ['call_lost', 'source'],
  ['refused', 'source'],
];

// Guards against a stopped run that nobody resumes, and against a second run while the first one goes on.
AT_THE_STOP.forEach(([stop, engine]) =>
  test(`the run goes on at the ${engine} when the call that stops it fails: ${stop}`, async () => {
    const world = await runStream({ stop });
    assertWhole(world);
    assert.equal(world.getReservedEngine(), engine);
    assert.equal(world.countCopies(), 0, 'a copy was kept');
  }),
);

// Guards against requests at an engine that leaves, later than it takes any: a failed move goes back to it.
test('a stream that can only go back to an engine that has left is broken off there', async () => {
  const returned = await runStream({ stop: 'expired' });
  assertWhole(returned);
  assert.equal(returned.source.requests, 2);
  const world = new RelocationWorld({ stop: 'expired' });
  world.departed.add('source');
  await world.startMoves(MOVE_AT_MS);
  await world.clock.advance(EVENT_COUNT * EVENT_MS);
  assert.equal(world.ending, 'cancelled');
  assert.equal(world.source.requests, 1);
  assert.deepEqual(world.failures, [], 'the engine that left counts as crashed');
  assert.equal(world.working.size, 0);
  assert.equal(world.countCopies(), 0, 'a copy was kept');
});

// Guards against the same at the engine that has the copy of a lost stream.
test('a stream does not go on from a backup at an engine that has left', async () => {
  const world = new RelocationWorld({ hasBackup: true, death: { engine: 'source', at: 500 } });
  world.departed.add('target');
  await world.clock.advance(EVENT_COUNT * EVENT_MS);
  assert.equal(world.ending, 'broken');
  assert.equal(world.target.requests, 0);
});

/** A stream that has left the engine with its backup, and returns to one that dies with its KV cache. */
const RETURNING = {
  ...({ copy: 'none', stop: 'none', repeats: 0, hasUnmarkedEnd: false, hasBackup: true } as const),
  death: { engine: 'source', at: 481 } as const,
  ...({ readMs: 0, lateMs: 0, unusedEvents: 0 } as const),
  laterMoves: [{ afterMs: 51, stop: 'none' as const }],
};

/** A stream whose engine and whose backup both end it by a close alone, the first while it may have been stopped. */
const TWICE_UNCONFIRMED = {
  ...({
    copy: 'none',
    stop: 'call_lost',
    repeats: 0,
    hasUnmarkedEnd: true,
    hasBackup: true,
  } as const),
  ...({ death: undefined, readMs: 0, lateMs: 0, unusedEvents: 5 } as const),
  laterMoves: [],
};

// Guards against streams that are cut off although another engine has their KV cache, and against lost and
// duplicate events, whenever an engine dies during a move.
test('a move loses and repeats no event, whatever fails and when', async () => {
  const faults = fc.constantFrom<CallFault>('none', ...BEFORE_THE_STOP, 'expired');
  const death = fc.record({
    engine: fc.constantFrom('source' as const, 'target' as const),
    at: fc.integer({ min: MOVE_AT_MS - 50, max: MOVE_AT_MS + 400 }),
  });
  const stops = fc.oneof(faults, fc.constant<CallFault>('late'));
  const laterMove = fc.record({ afterMs: fc.integer({ min: 0, max: 700 }), stop: stops });
  const script = fc.record({
    ...{ copy: faults, stop: stops, repeats: fc.integer({ min: 0, max: 4 }) },
    death: fc.option(death, { nil: undefined }),
    hasUnmarkedEnd: fc.boolean(),
    hasBackup: fc.boolean(),
    readMs: fc.constantFrom(0, 30, 90),
    lateMs: fc.integer({ min: 0, max: 1_200 }),
    laterMoves: fc.array(laterMove, { maxLength: 2 }),
    unusedEvents: fc.constantFrom(0, 0, 5),
  });
  await fc.assert(
    fc.asyncProperty(script, fc.integer({ min: 0, max: EVENT_MS }), async (faulty, offset) => {
      const world = await runStream(faulty, MOVE_AT_MS + offset);
      assert.ok(world.ending !== undefined, 'the stream hangs');
      assert.deepEqual(world.positions, ALL_POSITIONS.slice(0, world.positions.length));
      assert.ok(world.mostWorking <= 1, 'two engines worked on the request at a time');
      const mayBreak = world.isCacheLost || world.isEndDoubtful || world.isStoppedLate;
      if (isSingleFault(faulty) && !mayBreak) assert.equal(world.ending, 'done');
      if (faulty.death === undefined)
        assert.ok(
          world.longestPause <= longestPause(faulty),
          `a pause of ${world.longestPause} ms`,
        );
      if (world.ending === 'done') assert.equal(world.positions.length, EVENT_COUNT);
      world.reservations.release(world.reservation, 'done');
      assert.equal(world.knowledge.inFlight.getOwn().size, 0, 'load is left');
    }),
    {
      numRuns: 300,
      examples: [
        [RETURNING, 0],
        [TWICE_UNCONFIRMED, 0],
      ],
    },
  );
});

/** A stop that gets no response, and is carried out when the move has been given up. */
const LATE_STOP: WorldScript = { stop: 'late', lateMs: 500 };

const UNMARKED = { hasUnmarkedEnd: true };

// Guards against an order to stop a run that has no response and is carried out later: the engine's close would
// pass for the end of the stream, and the obeyed order for a crash.
[true, false].forEach((hasUnmarkedEnd) =>
  test(`a run that is stopped late is broken off, ${hasUnmarkedEnd ? 'without' : 'with'} a marked end`, async () => {
    const world = await runStream({ ...LATE_STOP, hasUnmarkedEnd });
    assert.equal(world.ending, 'cancelled');
    assert.ok(world.positions.length < EVENT_COUNT);
    assert.deepEqual(world.failures, []);
    const backed = await runStream({ ...LATE_STOP, hasUnmarkedEnd, hasBackup: true });
    assertWhole(backed);
    assert.deepEqual(backed.failures, []);
  }),
);

// Guards against the same while another move is under way, and against a run that is sent to an engine where an
// order may still stop it.
test('a stop that is carried out during a second move is no end', async () => {
  const offsets = Array.from({ length: 30 }, (_, i) => i);
  const ends = offsets.map(async (lateMs) => {
    const second = { afterMs: 480, stop: 'none' as const };
    const script = {
      ...UNMARKED,
      stop: 'late' as const,
      lateMs: 470 + lateMs,
      laterMoves: [second],
    };
    const world = await runStream(script);
    assert.equal(world.ending === 'done', world.positions.length === EVENT_COUNT, `${lateMs} ms`);
    assert.equal(world.mostWorking, 1);
    const later = [second, { afterMs: 200, stop: 'none' as const }];
    const returning = await runStream({ ...script, lateMs: 700, laterMoves: later });
    assertWhole(returning);
    assert.equal(returning.getReservedEngine(), 'target');
  });
  await Promise.all(ends);
});

// Guards against a close that is believed though a stop is outstanding, and against an order that was refused being
// held against the end.
test('a close ends a stream that may have more output only where no order can have stopped it', async () => {
  const open = { ...UNMARKED, unusedEvents: 5 };
  assert.equal((await runStream({ ...open, stop: 'call_lost' })).ending, 'cancelled');
  assertWhole(await runStream({ ...open, stop: 'refused' }));
  assertWhole(await runStream({ ...open, copy: 'call_lost' }));
  assertWhole(await runStream({ stop: 'call_lost', unusedEvents: 5 }));
  assertWhole(await runStream({ ...open, stop: 'none' }));
});

// Guards against an order that could not be delivered, since the engine's process has ended, and that is taken for a
// sign that the engine's close was the end of its stream.
test('a close is no end where the order to stop the run found the engine gone', async () => {
  assertWhole(await runStream({ ...UNMARKED, unusedEvents: 5, stop: 'gone' }));
});

// Guards against an empty end of the backup that confirms an end which may be a stop: a lost backup ends alike.
test('a backup that closes without an event confirms no end that may be a stop', async () => {
  const stopped = { ...UNMARKED, stop: 'call_lost', hasBackup: true } as const;
  const world = await runStream({ ...stopped, unusedEvents: 5 });
  assert.equal(world.ending, 'cancelled');
  assert.deepEqual(world.positions, ALL_POSITIONS);
  assertWhole(await runStream(stopped));
  assertWhole(await runStream({ ...stopped, hasUnmarkedEnd: false, unusedEvents: 5 }));
  assertWhole(await runStream({ ...stopped, stop: 'none', unusedEvents: 5 }));
});

/**
 * Gets the longest pause. A stop that is carried out without a response is noticed by its close only, and its
 * response is awaited before the next engine repeats events.
 */
function longestPause({ stop, laterMoves = [], repeats = 0 }: WorldScript): Millis {
  const isLate = [stop, ...laterMoves.map((move) => move.stop)].includes('late');
  const lateMs = RESPONSE_WAIT_MS + (repeats + 2) * EVENT_MS;
  return isLate ? Math.max(LONGEST_PAUSE_MS, lateMs) : LONGEST_PAUSE_MS;
}

/** Tells whether at most one thing goes wrong; after two, both engines may lack the KV cache. */
function isSingleFault({ copy, stop, death, laterMoves = [] }: WorldScript): boolean {
  const later = laterMoves.map((move) => move.stop !== 'none');
  const faults = [copy !== 'none', stop !== 'none', death !== undefined, ...later];
  return faults.filter(Boolean).length <= 1;
}

// Guards against a copy that is kept, and an engine that works on, when the caller disconnects in a move.
test('nothing is left when the caller disconnects during a move', async () => {
  const checks = [0, 1, 3, 5, 7, 10, 50].map(async (afterMs) => {
    const world = new RelocationWorld({});
    await world.clock.advance(MOVE_AT_MS);
    world.stream.moveTo(world.target.entry, 'memory');
    await world.clock.advance(afterMs);
    world.caller.abort();
    await world.clock.advance(100);
    assert.equal(world.ending, 'cancelled');
    assert.equal(world.working.size, 0, `an engine works on, ${afterMs} ms`);
    assert.equal(world.countCopies(), 0, `a copy was kept, ${afterMs} ms`);
  });
  await Promise.all(checks);
});

// Guards against a stream that is cut off, or prefilled again, although another engine has a copy of it.
test('a stream goes on from its backup when its engine dies', async () => {
  const world = new RelocationWorld({ hasBackup: true, death: { engine: 'source', at: 500 } });
  await world.clock.advance(EVENT_COUNT * EVENT_MS + 1_000);
  assertWhole(world);
  assert.equal(world.getReservedEngine(), 'target');
  world.reservations.release(world.reservation, 'done');
  assert.equal(world.knowledge.inFlight.getOwn().size, 0, 'memory stays reserved for the copy');
});

// Guards against a request that crashes one engine after the other by going on from its backups.
test('a stream whose engine dies is recorded, and does not go on while it is quarantined', async () => {
  const script: WorldScript = { hasBackup: true, death: { engine: 'source', at: MOVE_AT_MS } };
  const world = new RelocationWorld(script);
  await world.clock.advance(10_000);
  assert.equal(world.ending, 'done');
  assert.deepEqual(world.failures, ['source']);
  const quarantined = new RelocationWorld(script);
  quarantined.isBlocked = true;
  await quarantined.clock.advance(10_000);
  assert.equal(quarantined.ending, 'broken');
  assert.deepEqual(quarantined.failures, ['source']);
});
