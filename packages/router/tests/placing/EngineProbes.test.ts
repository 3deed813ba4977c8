import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import { EngineHealth, SlowStart } from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import { EngineProbes } from '../../src/placing/EngineProbes.ts';

const REFUSED: UpstreamError = { type: 'unreachable', dispatched: false, message: 'refused' };

/** A host before engines of which some are down; it counts how often each is asked. */
class ProbedFleet {
  readonly clock = new VirtualClock();

  readonly health = new EngineHealth();

  readonly asked = new Map<string, number>();

  readonly down = new Set<string>();

  readonly slowStart = new SlowStart();

  readonly listed = new Set(['e1', 'e2', 'e3', 'e4']);

  readonly probes: EngineProbes;

  changes = 0;

  constructor() {
    const engineOf = (id: string) => ({
      load: async () => {
        this.asked.set(id, (this.asked.get(id) ?? 0) + 1);
        return this.down.has(id) ? err(REFUSED) : ok({});
      },
    });
    this.probes = new EngineProbes({
      clock: this.clock,
      health: this.health,
      slowStart: this.slowStart,
      directory: {
        getEngine: (id) =>
          this.listed.has(id) ? ({ cfg: {}, engine: engineOf(id) } as never) : undefined,
        getEngineIds: () => [...this.listed],
      },
      onChange: () => {
        this.changes += 1;
      },
    });
  }
}

// A stream breaks because its server lost an answer. The engine is well, and must be used again at once.
test('an engine that answers is used again at once', async () => {
  const fleet = new ProbedFleet();
  fleet.probes.suspect('e1');
  assert.equal(fleet.health.isSuspected('e1'), true);
  await fleet.clock.advance(1);
  assert.equal(fleet.health.isSuspected('e1'), false);
  assert.deepEqual(fleet.probes.getDown(), []);
});

// An engine crashes under ten streams. Tried with requests until the list drops it, it would cost a
// prompt that was read for nothing with each.
test('an engine that crashed is asked now and then, and used once it answers', async () => {
  const fleet = new ProbedFleet();
  fleet.down.add('e1');
  Array.from({ length: 10 }, () => fleet.probes.suspect('e1'));
  await fleet.clock.advance(3_000);
  assert.equal(fleet.health.isSuspected('e1'), true);
  assert.deepEqual(fleet.probes.getDown(), ['e1']);
  assert.ok((fleet.asked.get('e1') ?? 0) <= 5, `${fleet.asked.get('e1')}`);
  fleet.down.delete('e1');
  await fleet.clock.advance(1_600);
  assert.equal(fleet.health.isSuspected('e1'), false);
  assert.deepEqual(fleet.probes.getDown(), []);
});

test('an engine that is not listed any more is not asked any more', async () => {
  const fleet = new ProbedFleet();
  fleet.down.add('e1');
  fleet.probes.suspect('e1');
  await fleet.clock.advance(1_000);
  fleet.listed.delete('e1');
  await fleet.clock.advance(2_000);
  const asked = fleet.asked.get('e1');
  await fleet.clock.advance(10_000);
  assert.equal(fleet.asked.get('e1'), asked);
  assert.equal(fleet.health.isSuspected('e1'), false);
});

// A host is cut off from the engines and finds them all down. If its peers went by its word, nobody
// would serve.
test('a peer is believed only as far as the engine itself gives no answer', async () => {
  const fleet = new ProbedFleet();
  fleet.down.add('e2');
  fleet.probes.receive(['e1', 'e2']);
  await fleet.clock.advance(1);
  assert.equal(fleet.health.isSuspected('e1'), false);
  assert.equal(fleet.health.isSuspected('e2'), true);
  Array.from({ length: 20 }, () => fleet.probes.receive(['e1', 'e2']));
  await fleet.clock.advance(100);
  assert.equal(fleet.asked.get('e1'), 1);
});

test('a host that finds most engines down says nothing of them', async () => {
  const fleet = new ProbedFleet();
  ['e1', 'e2', 'e3'].forEach((id) => {
    fleet.down.add(id);
    fleet.probes.suspect(id);
  });
  await fleet.clock.advance(10);
  assert.deepEqual(fleet.probes.getDown(), []);
  assert.ok(fleet.changes >= 3);
});

// A host leaves while an engine is down. Were it to go on asking, its process would not end.
test('a host that stops asks no engine any more', async () => {
  const fleet = new ProbedFleet();
  fleet.down.add('e1');
  fleet.probes.suspect('e1');
  await fleet.clock.advance(1);
  const asked = fleet.asked.get('e1');
  fleet.probes.stop();
  fleet.probes.suspect('e2');
  await fleet.clock.advance(10_000);
  assert.equal(fleet.asked.get('e1'), asked, 'it was asked after the stop');
  assert.equal(fleet.asked.get('e2'), undefined, 'a new one was asked after the stop');
});
