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
    fleet.stop();
  }
}

const changingEngines = (fleet: RoleFleet): readonly string[] =>
  ['p1', 'p2', 'p3', 'd1', 'd2', 'd3'].filter(
    (id) => fleet.knowledge.roleChanges.getTargetRole(id, fleet.clock.now()) !== undefined,
  );

test('a role change is ordered once, with the fencing token and the expected number of orders', async () => {
  await withFleet(async (fleet) => {
    await fleet.advanceUnderLoad(12_000);
    assert.equal(fleet.orders.length, 1);
    const [sent] = fleet.orders;
    assert.deepEqual(sent?.order, {
      ...{ type: 'role', role: 'decode', fence: 41, holder: 'h1', expected: 3 },
    });
    assert.deepEqual(changingEngines(fleet), [sent.engine]);
    assert.ok(fleet.announced >= 1);
    fleet.setRole(sent.engine, 'decode');
    await fleet.advanceUnderLoad(600);
    assert.deepEqual(changingEngines(fleet), []);
  });
});

// Guards against two hosts ordering at the same time, which would move more engines than can be spared.
test('without the lease no order is sent and no engine is taken out of use', async () => {
  await withFleet(async (fleet) => {
    fleet.configure({ lease: { type: 'not_held', reason: 'store_away' } });
    await fleet.advanceUnderLoad(12_000);
    assert.deepEqual(fleet.orders, []);
    assert.deepEqual(changingEngines(fleet), []);
  });
});

// The answer to an order is lost, and the engine may execute the order at any time, so it must not be used.
// The retry expects the same number of orders, so that the engine can't execute it twice.
test('an unanswered order is sent again, and the engine stays out of use', async () => {
  await withFleet(async (fleet) => {
    fleet.configure({ answers: [err(UNANSWERED), err(REFUSED)] });
    await fleet.advanceUnderLoad(6_000);
    assert.equal(fleet.orders.length, 2);
    assert.deepEqual(
      fleet.orders.map(({ order }) => order.type === 'role' && order.expected),
      [3, 3],
    );
    assert.equal(changingEngines(fleet).length, 1);
  });
});

test('an engine that rejects an order is used in its present role again', async () => {
  await withFleet(async (fleet) => {
    fleet.configure({ answers: [err(REFUSED)] });
    await fleet.advanceUnderLoad(4_500);
    assert.ok(fleet.orders.length >= 1);
    fleet.configure({ rank: undefined });
    await fleet.advanceUnderLoad(1_500);
    assert.deepEqual(changingEngines(fleet), []);
  });
});

// The chosen engine has just crashed. Without its load report the number of orders it has accepted is
// unknown, and an order could be executed twice.
test('an engine without a load report gets no order', async () => {
  await withFleet(async (fleet) => {
    fleet.configure({ report: err(DOWN) });
    await fleet.advanceUnderLoad(6_000);
    assert.deepEqual(fleet.orders, []);
  });
});

// Guards against an order from a host that was suspended after its decision and has lost the lease since.
test('a host that loses the lease after its decision sends no order', async () => {
  await withFleet(async (fleet) => {
    const { roleChanges } = fleet.knowledge;
    const begin = roleChanges.begin.bind(roleChanges);
    roleChanges.begin = (...args) => {
      begin(...args);
      fleet.configure({ lease: { type: 'not_held', reason: 'held_by_other' } });
    };
    await fleet.advanceUnderLoad(8_000);
    assert.deepEqual(fleet.orders, []);
    assert.deepEqual(changingEngines(fleet), []);
  });
});

test('a host that is leaving or has three hosts before it sends no order', async () => {
  await withFleet(async (fleet) => {
    fleet.configure({ rank: undefined });
    await fleet.advanceUnderLoad(8_000);
    fleet.configure({ rank: 3 });
    await fleet.advanceUnderLoad(8_000);
    assert.deepEqual(fleet.orders, []);
  });
});
