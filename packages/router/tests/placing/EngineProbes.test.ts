import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import { EngineHealth, SlowStart } from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import { EngineProbes } from '../../src/placing/EngineProbes.ts';

const REFUSED: UpstreamError = { type: 'unreachable', dispatched: false, message: 'refused' };

/** Probes against four fake engines, with counts of the probes that each received. */
class ProbedFleet {
  readonly clock = new VirtualClock();

  readonly health = new EngineHealth();

  readonly probeCounts = new Map<string, number>();

  readonly down = new Set<string>();

  readonly slowStart = new SlowStart();

  readonly listed = new Set(['e1', 'e2', 'e3', 'e4']);

  readonly probes: EngineProbes;

  changeCount = 0;

  constructor() {
    const engineOf = (id: string) => ({
      load: async () => {
        this.probeCounts.set(id, (this.probeCounts.get(id) ?? 0) + 1);
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
        this.changeCount += 1;
      },
    });
  }
}

// Guards against avoiding a healthy engine after one of its streams broke, as when an answer is lost.
test('a suspected engine that answers its first probe is used again at once', async () => {
  const fleet = new ProbedFleet();
  fleet.probes.suspect('e1');
  assert.equal(fleet.health.isSuspected('e1'), true);
  await fleet.clock.advance(1);
  assert.equal(fleet.health.isSuspected('e1'), false);
  assert.deepEqual(fleet.probes.getDownEngines(), []);
});

// An engine that crashed under ten streams stays listed for a while. Without probes every host would find
// it down by sending requests, each with a wasted prefill.
test('a crashed engine is probed with a back-off and used once it answers', async () => {
  const fleet = new ProbedFleet();
  fleet.down.add('e1');
  Array.from({ length: 10 }, () => fleet.probes.suspect('e1'));
  await fleet.clock.advance(3_000);
  assert.equal(fleet.health.isSuspected('e1'), true);
  assert.deepEqual(fleet.probes.getDownEngines(), ['e1']);
  assert.ok((fleet.probeCounts.get('e1') ?? 0) <= 5, `${fleet.probeCounts.get('e1')}`);
  fleet.down.delete('e1');
  await fleet.clock.advance(1_600);
  assert.equal(fleet.health.isSuspected('e1'), false);
  assert.deepEqual(fleet.probes.getDownEngines(), []);
});

test('an engine that is no longer listed is no longer probed', async () => {
  const fleet = new ProbedFleet();
  fleet.down.add('e1');
  fleet.probes.suspect('e1');
  await fleet.clock.advance(1_000);
  fleet.listed.delete('e1');
  await fleet.clock.advance(2_000);
  const probeCount = fleet.probeCounts.get('e1');
  await fleet.clock.advance(10_000);
  assert.equal(fleet.probeCounts.get('e1'), probeCount);
  assert.equal(fleet.health.isSuspected('e1'), false);
});

// A partitioned host reports all engines as down. If its peers relied on that report, no host would serve.
test('an engine that a peer reports as down is avoided only if it does not answer a probe', async () => {
  const fleet = new ProbedFleet();
  fleet.down.add('e2');
  fleet.probes.receive(['e1', 'e2']);
  await fleet.clock.advance(1);
  assert.equal(fleet.health.isSuspected('e1'), false);
  assert.equal(fleet.health.isSuspected('e2'), true);
  Array.from({ length: 20 }, () => fleet.probes.receive(['e1', 'e2']));
  await fleet.clock.advance(100);
  assert.equal(fleet.probeCounts.get('e1'), 1);
});

test('a host that finds most engines down does not report them', async () => {
  const fleet = new ProbedFleet();
  ['e1', 'e2', 'e3'].forEach((id) => {
    fleet.down.add(id);
    fleet.probes.suspect(id);
  });
  await fleet.clock.advance(10);
  assert.deepEqual(fleet.probes.getDownEngines(), []);
  assert.ok(fleet.changeCount >= 3);
});

// Guards against a process that does not exit because it goes on probing an engine that is down.
test('no engine is probed after the stop', async () => {
  const fleet = new ProbedFleet();
  fleet.down.add('e1');
  fleet.probes.suspect('e1');
  await fleet.clock.advance(1);
  const probeCount = fleet.probeCounts.get('e1');
  fleet.probes.stop();
  fleet.probes.suspect('e2');
  await fleet.clock.advance(10_000);
  assert.equal(
    fleet.probeCounts.get('e1'),
    probeCount,
    'an engine that was down was probed after the stop',
  );
  assert.equal(
    fleet.probeCounts.get('e2'),
    undefined,
    'a newly suspected engine was probed after the stop',
  );
});

// Guards against engines that stay out of use for seconds after this host has got its links back.
test('engines that are down are probed at once when links are back', async () => {
  const fleet = new ProbedFleet();
  fleet.listed.forEach((id) => fleet.down.add(id));
  fleet.listed.forEach((id) => fleet.probes.suspect(id));
  await fleet.clock.advance(5_000);
  fleet.down.clear();
  fleet.probes.retryNow();
  await fleet.clock.advance(1);
  assert.deepEqual(
    [...fleet.listed].filter((id) => fleet.health.isSuspected(id)),
    [],
  );
  const probed = new Map(fleet.probeCounts);
  await fleet.clock.advance(5_000);
  assert.deepEqual(fleet.probeCounts, probed);
});
