import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { UsagePace } from '../../src/coordination/UsagePace.ts';
import type { GossipHost } from '../support/GossipFleet.ts';
import { GossipFleet } from '../support/GossipFleet.ts';

const CALLS = 'c:orders';

/** Time for which the hosts hold calls, so that the means have come close to the amounts. */
const SETTLED_MS = 8_000;

async function fleetOf(count: number) {
  const fleet = new GossipFleet(count);
  after(() => fleet.end());
  await fleet.clock.advance(4_000);
  const serving = fleet.hosts.filter(({ roster }) => roster.isServing(fleet.clock.now()));
  serving.forEach((host) => {
    Object.assign(host, { reportsUsage: true });
    host.usage.adjust(CALLS, 'a', 2, fleet.clock.now());
  });
  await fleet.clock.advance(SETTLED_MS);
  return { fleet, serving };
}

// Guards against usage that a host counts twice, that is lost on the way over relays or between two reports, or
// that stays after the death of its host.
[6, 40, 120].forEach((count) =>
  test(`in a fleet of ${count} hosts each serving host knows what a team holds on all of them`, async () => {
    const { fleet, serving } = await fleetOf(count);
    const assertKnown = (hosts: readonly GossipHost[]): void =>
      hosts.forEach(({ name, usage }) => {
        const held = usage.heldBy('a', CALLS, fleet.clock.now());
        assert.ok(
          Math.abs(held - 2 * hosts.length) < 0.1,
          `${name}: ${held} of ${hosts.length} x 2`,
        );
      });
    assertKnown(serving);
    const [dead, ...alive] = [...serving].reverse();
    Object.assign(dead ?? {}, { isDown: true });
    await fleet.clock.advance(4_000);
    assertKnown(alive);
  }),
);

// Guards against usage in each message of a busy host, which would exceed the budget of the gossip.
test('busy hosts send usage in a part of their messages, and standby hosts get none', async () => {
  const { fleet, serving } = await fleetOf(40);
  // The first hosts are relays, which keep the sums that they build.
  const receiver = serving.at(-1);
  const before = receiver?.digests.length ?? 0;
  await fleet.clock.advance(4_000);
  const digests = receiver?.digests.slice(before) ?? [];
  const withUsage = digests.filter(({ usage }) => usage !== undefined).length;
  const pace = new UsagePace();
  const turns = [0, 60, 240, 300, 599].filter((now) => pace.takeTurn({ periodMs: 300 }, now));
  assert.deepEqual(turns, [0, 300]);
  assert.ok(withUsage >= 8 && withUsage <= 14, `${withUsage} of ${digests.length} in 4 s`);
  const standby = fleet.hosts.filter((host) => !serving.includes(host));
  assert.ok(standby.every((host) => host.digests.every(({ usage }) => usage === undefined)));
});
