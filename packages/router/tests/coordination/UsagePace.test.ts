import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { GossipHost } from '../support/GossipFleet.ts';
import { GossipFleet } from '../support/GossipFleet.ts';

const CALLS = 'c:orders';

/** Time for which the hosts hold calls, so that the means have come close to the amounts. */
const SETTLED_MS = 8_000;

const fleets: GossipFleet[] = [];

after(() => fleets.forEach((fleet) => fleet.end()));

async function fleetOf(
  count: number,
): Promise<{ readonly fleet: GossipFleet; readonly serving: readonly GossipHost[] }> {
  const fleet = new GossipFleet(count);
  fleets.push(fleet);
  await fleet.clock.advance(4_000);
  const serving = fleet.hosts.filter(({ roster }) => roster.isServing(fleet.clock.now()));
  serving.forEach((host) => {
    Object.assign(host, { reportsUsage: true });
    host.usage.adjust(CALLS, 'a', 2, fleet.clock.now());
  });
  await fleet.clock.advance(SETTLED_MS);
  return { fleet, serving };
}

// Guards against usage that a host counts twice, that is lost on the way over relays, or that stays after the
// death of its host.
[6, 40, 120].forEach((count) =>
  test(`in a fleet of ${count} hosts each serving host knows what a team holds on all of them`, async () => {
    const { fleet, serving } = await fleetOf(count);
    const held = (host: GossipHost): number => host.usage.heldBy('a', CALLS, fleet.clock.now());
    serving.forEach((host) => {
      const deviation = Math.abs(held(host) - 2 * serving.length);
      assert.ok(deviation < 0.1, `${host.name}: ${held(host)} of ${2 * serving.length}`);
    });
    const [dead, ...alive] = [...serving].reverse();
    Object.assign(dead ?? {}, { isDown: true });
    await fleet.clock.advance(4_000);
    alive.forEach((host) => {
      const deviation = Math.abs(held(host) - 2 * alive.length);
      assert.ok(deviation < 0.1, `${host.name}: ${held(host)} of ${2 * alive.length}`);
    });
  }),
);

// Guards against usage in each hint of a busy host, which would exceed the budget of the gossip.
test('busy hosts send usage in a part of their messages', async () => {
  const { fleet, serving } = await fleetOf(40);
  // The first hosts are relays, which keep the sums that they build.
  const receiver = serving.at(-1);
  const before = receiver?.digests.length ?? 0;
  await Array.from({ length: 40 }).reduce<Promise<void>>(async (earlier) => {
    await earlier;
    serving.forEach((host) => host.recordStateChange());
    await fleet.clock.advance(100);
  }, Promise.resolve());
  const digests = receiver?.digests.slice(before) ?? [];
  const withUsage = digests.filter(({ usage }) => usage !== undefined).length;
  assert.ok(withUsage >= 8 && withUsage <= 14, `${withUsage} of ${digests.length} in 4 s`);
  const standby = fleet.hosts.filter((host) => !serving.includes(host));
  assert.ok(standby.every((host) => host.digests.every(({ usage }) => usage === undefined)));
});
