import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { UpstreamError } from '@camphorvane/upstream';
import { err } from 'neverthrow';
import { RoleFleet } from '../support/RoleFleet.ts';

const UNANSWERED: UpstreamError = { type: 'silent', dispatched: true, message: 'no answer' };
const REFUSED: UpstreamError = { type: 'rejected', dispatched: false, message: 'refused with 409' };
const DOWN: UpstreamError = { type: 'unreachable', dispatched: false, message: 'refused' };

async function withFleet(run: (fleet: RoleFleet) => Promise<void>): Promise<void> {
  const fleet = new RoleFleet();
  try {
    await run(fleet);
  } finally {
    fleet.end();
  }
}

const changing = (fleet: RoleFleet): readonly string[] =>
  ['p1', 'p2', 'p3', 'd1', 'd2', 'd3'].filter(
    (id) => fleet.knowledge.moves.roleOf(id, fleet.clock.now()) !== undefined,
  );

test('an engine is ordered once, with the fencing number and what the engine must expect', async () => {
  await withFleet(async (fleet) => {
    await fleet.play(12_000);
    assert.equal(fleet.orders.length, 1);
    const [given] = fleet.orders;
    assert.deepEqual(given?.order, {
      ...{ type: 'role', role: 'decode', fence: 41, holder: 'h1', expected: 3 },
    });
    assert.deepEqual(changing(fleet), [given.engine]);
    assert.ok(fleet.announced >= 1);
    fleet.complete(given.engine, 'decode');
    await fleet.play(600);
    assert.deepEqual(changing(fleet), []);
  });
});

// Another host holds the lease, or the store is away. Two hosts that order at a time would turn both of
// the engines that are to spare.
test('without the lease nothing is ordered, and no engine is taken out of use', async () => {
  await withFleet(async (fleet) => {
    fleet.set({ lease: { type: 'not_held', reason: 'store_away' } });
    await fleet.play(12_000);
    assert.deepEqual(fleet.orders, []);
    assert.deepEqual(changing(fleet), []);
  });
});

// The answer to an order is lost. The engine may carry it out at any moment, so nobody may use it; the
// order is sent again with the same expectation, so that it can't be carried out twice.
test('an order without an answer is sent again, and the engine stays out of use', async () => {
  await withFleet(async (fleet) => {
    fleet.set({ answers: [err(UNANSWERED), err(REFUSED)] });
    await fleet.play(6_000);
    assert.equal(fleet.orders.length, 2);
    assert.deepEqual(
      fleet.orders.map(({ order }) => order.type === 'role' && order.expected),
      [3, 3],
    );
    assert.equal(changing(fleet).length, 1);
  });
});

test('an engine that refuses an order is used as before', async () => {
  await withFleet(async (fleet) => {
    fleet.set({ answers: [err(REFUSED)] });
    await fleet.play(4_500);
    assert.ok(fleet.orders.length >= 1);
    fleet.set({ rank: undefined });
    await fleet.play(1_500);
    assert.deepEqual(changing(fleet), []);
  });
});

// The engine that was chosen has just crashed. It gets no order without a report, since nobody knows
// which orders it has taken.
test('an engine that gives no report gets no order', async () => {
  await withFleet(async (fleet) => {
    fleet.set({ report: err(DOWN) });
    await fleet.play(6_000);
    assert.deepEqual(fleet.orders, []);
  });
});

// The lease is lost between the decision and the order, because the host was suspended meanwhile.
test('a host that has lost the lease since it decided orders nothing', async () => {
  await withFleet(async (fleet) => {
    const { moves } = fleet.knowledge;
    const begin = moves.begin.bind(moves);
    moves.begin = (...args) => {
      begin(...args);
      fleet.set({ lease: { type: 'not_held', reason: 'held_by_other' } });
    };
    await fleet.play(8_000);
    assert.deepEqual(fleet.orders, []);
    assert.deepEqual(changing(fleet), []);
  });
});

test('a host that leaves, or that has others before it, orders nothing', async () => {
  await withFleet(async (fleet) => {
    fleet.set({ rank: undefined });
    await fleet.play(8_000);
    fleet.set({ rank: 3 });
    await fleet.play(8_000);
    assert.deepEqual(fleet.orders, []);
  });
});
