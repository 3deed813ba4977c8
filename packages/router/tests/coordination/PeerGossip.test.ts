import assert from 'node:assert/strict';
import { test } from 'node:test';
import { gossipTimings } from '@camphorvane/decisions';
import type { GossipHost } from '../support/GossipFleet.ts';
import { GossipFleet } from '../support/GossipFleet.ts';

const LOAD = { prefillTokens: 10, streams: 1, memoryTokens: 100 };

/** Streams of all hosts on an engine, as known to one host. */
const streamsAt = (fleet: GossipFleet, host: GossipHost): number =>
  host.inFlight.getTotal('e', fleet.clock.now()).streams;

const namesOf = (fleet: GossipFleet, host: GossipHost): readonly string[] =>
  host.roster.getMembers(fleet.clock.now()).map((member) => member.host);

async function withFleet(count: number, run: (fleet: GossipFleet) => Promise<void>): Promise<void> {
  const fleet = new GossipFleet(count);
  try {
    await run(fleet);
  } finally {
    fleet.end();
  }
}

/** Has each host place two requests a second. */
async function advanceUnderLoad(fleet: GossipFleet, forMs: number): Promise<void> {
  const stepMs = 500;
  const steps = Array.from({ length: forMs / stepMs }, (_, i) => i);
  await steps.reduce(async (before) => {
    await before;
    fleet.hosts.forEach((host) => host.recordStateChange());
    await fleet.clock.advance(stepMs);
  }, Promise.resolve());
}

// In a full mesh the gossip that a host sends grows in proportion to the fleet, and weak hosts would
// spend their processor and link on it instead of on requests.
test('the gossip that an ordinary host sends does not grow with the fleet', async () => {
  const costs: { readonly datagrams: number; readonly bytes: number }[] = [];
  const measure = (count: number) =>
    withFleet(count, async (fleet) => {
      await advanceUnderLoad(fleet, 4_000);
      const ordinary = fleet.hosts.slice(6);
      const datagrams = ordinary.reduce((sum, host) => sum + host.sent, 0) / ordinary.length;
      const bytes = ordinary.reduce((sum, host) => sum + host.bytes, 0) / ordinary.length;
      costs.push({ datagrams: datagrams / 4, bytes: bytes / 4 });
    });
  await measure(12);
  await measure(90);
  const [small, large] = costs;
  assert.ok(large !== undefined && small !== undefined);
  assert.ok(
    large.datagrams <= small.datagrams,
    `${large.datagrams} datagrams a second, ${small.datagrams} in a small fleet`,
  );
  assert.ok(large.datagrams < 15, `${large.datagrams} datagrams a second`);
});

test('each host learns the load of all peers together on an engine', async () => {
  await withFleet(30, async (fleet) => {
    fleet.hosts.forEach((host) => Object.assign(host, { load: new Map([['e', LOAD]]) }));
    await fleet.clock.advance(2_000);
    fleet.hosts.forEach((host) => assert.equal(streamsAt(fleet, host), 29, host.name));
  });
});

// All three relays fail at the same moment. The other hosts must not go on sending to them until their
// records expire, since callers would be sent to dead hosts meanwhile.
test('after all relays have failed the other hosts find a new one', async () => {
  await withFleet(30, async (fleet) => {
    await fleet.clock.advance(3_000);
    fleet.hosts.slice(0, 3).forEach((host) => Object.assign(host, { isDown: true }));
    await fleet.clock.advance(3 * gossipTimings(30).gossipTimeoutMs);
    const live = fleet.hosts.slice(3);
    const expected = live.map((host) => host.name);
    live.forEach((host) => assert.deepEqual(namesOf(fleet, host), expected, host.name));
  });
});

// A partition splits the fleet into halves with relays of their own, and heals. Without hints to
// silent hosts the halves would never rejoin.
test('the halves of a healed partition rejoin', async () => {
  await withFleet(30, async (fleet) => {
    await fleet.clock.advance(2_000);
    const left = new Set(fleet.hosts.filter((_, i) => i % 2 === 0).map((host) => host.name));
    Object.assign(fleet, {
      passes: (from: GossipHost, to: GossipHost) => left.has(from.name) === left.has(to.name),
    });
    await fleet.clock.advance(10_000);
    fleet.hosts.forEach((host) => assert.equal(namesOf(fleet, host).length, 15, host.name));
    Object.assign(fleet, { passes: () => true });
    await fleet.clock.advance(4 * gossipTimings(30).gossipTimeoutMs);
    fleet.hosts.forEach((host) => assert.equal(namesOf(fleet, host).length, 30, host.name));
  });
});

// One team sends eight times its rate to a relayed fleet, and a relay fails midway. Charges that a host
// learns late, or from another relay, must not be granted twice.
test('a team far over its rate stays within the tolerance, also when a relay fails', async () => {
  const team = 't';
  const rate = { tokensPerSecond: 20_000, burstTokens: 20_000 };
  const stepMs = 50;
  const windowMs = 8_000;
  const charged: number[] = [];
  await withFleet(30, async (fleet) => {
    fleet.hosts.forEach((host) => host.rates.reconfigure(new Map([[team, rate]]), 0));
    await fleet.clock.advance(1_000);
    let requestCount = 0;
    const step = async (index: number): Promise<void> => {
      if (index === 120) Object.assign(fleet.hosts[0] ?? {}, { isDown: true });
      const requests = Array.from({ length: (8 * rate.tokensPerSecond * stepMs) / 1_000 / 500 });
      const accepted = requests.filter(() => {
        requestCount += 1;
        const host = fleet.hosts[requestCount % fleet.hosts.length];
        if (host === undefined || host.isDown) return false;
        host.recordStateChange();
        return host.rates.charge(team, 500, fleet.clock.now()).type === 'charged';
      });
      charged.push(accepted.length * 500);
      await fleet.clock.advance(stepMs);
    };
    await Array.from({ length: 400 }, (_, i) => i).reduce(async (before, index) => {
      await before;
      await step(index);
    }, Promise.resolve());
  });
  const steps = windowMs / stepMs;
  const windows = charged.map((_, i) => charged.slice(i, i + steps).reduce((a, b) => a + b, 0));
  const allowed = ((rate.tokensPerSecond * windowMs) / 1_000 + rate.burstTokens) * 1.1 + 12_000;
  assert.ok(
    Math.max(...windows) <= allowed,
    `${Math.max(...windows)} tokens in a window, ${allowed} allowed`,
  );
  const total = charged.reduce((a, b) => a + b, 0);
  assert.ok(total >= rate.tokensPerSecond * 20 * 0.9, `${total} tokens charged in 20 s`);
});

const ITEM = {
  ...{ request: 'r', holder: 'h', team: 't', weight: 1, class: 'lookup' as const, prefixes: [] },
  ...{ promptTokens: 3_000, maxOutputTokens: 800, maxWaitMs: 2_500, avoid: [] },
};

/** Requests of all hosts in the last 30 s, as known to one host. */
const demandAt = (fleet: GossipFleet, host: GossipHost): number =>
  host.demand.getBuckets('m', fleet.clock.now()).reduce((sum, span) => sum + span.requests, 0);

// The host that decides about role changes gets few of the requests itself. It must learn the demand at
// all hosts, also from the sums of a relay, and also after that relay has failed.
test('each host learns the demand at all hosts together', async () => {
  const check = (count: number) =>
    withFleet(count, async (fleet) => {
      await advanceUnderLoad(fleet, 2_000);
      fleet.hosts.forEach((host) => host.demand.recordRequest('m', ITEM, fleet.clock.now()));
      await advanceUnderLoad(fleet, 3_000);
      const known = fleet.hosts.map((host) => demandAt(fleet, host));
      assert.deepEqual(
        known,
        fleet.hosts.map(() => count),
      );
      Object.assign(fleet.hosts[0] ?? {}, { isDown: true });
      await advanceUnderLoad(fleet, 3_000);
      const live = fleet.hosts.slice(1);
      live.forEach((host) => host.demand.recordRequest('m', ITEM, fleet.clock.now()));
      await advanceUnderLoad(fleet, 3_000);
      live.forEach((host) => {
        const delta = demandAt(fleet, host) - count;
        assert.ok(delta >= (count - 1) * 0.9 && delta <= count * 1.1, `${host.name} ${delta}`);
      });
    });
  await check(6);
  await check(30);
});

test('all hosts learn which engines change their role', async () => {
  const check = (count: number) =>
    withFleet(count, async (fleet) => {
      await advanceUnderLoad(fleet, 2_000);
      const [first, ...others] = fleet.hosts;
      Object.assign(first ?? {}, { moves: [{ engine: 'e', role: 'decode', leftMs: 9_000 }] });
      await advanceUnderLoad(fleet, 1_000);
      const now = fleet.clock.now();
      const unaware = others.filter(
        (host) => host.roleChanges.getTargetRole('e', now) !== 'decode',
      );
      assert.deepEqual(
        unaware.map((host) => host.name),
        [],
      );
    });
  await check(6);
  await check(30);
});

test('all hosts learn how many requests queued on their peers can still be on time', async () => {
  const check = (count: number) =>
    withFleet(count, async (fleet) => {
      fleet.hosts.forEach((host) => host.demand.recordRequest('m', ITEM, fleet.clock.now()));
      await advanceUnderLoad(fleet, 3_000);
      const [first, second, ...others] = fleet.hosts;
      Object.assign(first ?? {}, { waiting: 3 });
      Object.assign(second ?? {}, { waiting: 2 });
      await advanceUnderLoad(fleet, 1_000);
      const now = fleet.clock.now();
      others.forEach((host) => assert.equal(host.peerBacklog.sum('m', now), 5, host.name));
      assert.equal(first?.peerBacklog.sum('m', now), 2);
      assert.equal(others[0]?.peerBacklog.sum('m', now + 1_000), 0);
    });
  await check(6);
  await check(30);
});

const servingOf = (fleet: GossipFleet, host: GossipHost): readonly string[] =>
  host.roster
    .getMembers(fleet.clock.now())
    .filter((member) => member.serving && member.zone === 'a')
    .map((member) => member.host);

// Guards against callers that are sent to dead hosts while live hosts of their zone stand by.
test('standby hosts replace failed serving hosts of their zone', async () => {
  await withFleet(60, async (fleet) => {
    await fleet.clock.advance(4_000);
    const zone = fleet.hosts.filter((_, i) => i % 3 === 0).map((host) => host.name);
    const observer = fleet.hosts.find((host) => host.name === 'h040');
    assert.ok(observer !== undefined);
    const before = servingOf(fleet, observer);
    assert.ok(before.length >= 3 && before.length <= zone.length / 2, `${before.length} serve`);
    fleet.hosts
      .filter((host) => before.includes(host.name))
      .forEach((host) => Object.assign(host, { isDown: true }));
    await fleet.clock.advance(5_000);
    const after = servingOf(fleet, observer);
    assert.ok(after.length >= 3, `${after.length} serve`);
    assert.deepEqual(
      after.filter((host) => before.includes(host)),
      [],
    );
  });
});

test('a host without a hint of any peer takes callers itself', async () => {
  await withFleet(60, async (fleet) => {
    Object.assign(fleet, { passes: () => false });
    await fleet.clock.advance(4_000);
    const now = fleet.clock.now();
    fleet.hosts.forEach((host) => assert.equal(host.roster.isServing(now), true, host.name));
  });
});

// Guards against hosts that go on with a limit, or without one, because their own permits are so rare that
// they hardly ever get an answer of the server.
[9, 350].forEach((count) =>
  test(`a limit and its end reach all serving hosts of ${count} by gossip`, async () => {
    const fleet = new GossipFleet(count);
    const serving = (): readonly GossipHost[] => {
      const names = fleet.hosts[0]?.roster.getExpectedServing() ?? [];
      return fleet.hosts.filter(({ name }) => names.includes(name));
    };
    await fleet.clock.advance(6_000);
    const [teller] = serving().slice(-1);
    assert.ok(teller !== undefined);
    const tell = (requestsPerSecond: number | undefined): void => {
      const signals = { requestsPerSecond, endsLimit: true, leaving: false, restMs: undefined };
      teller.constraints.record('s', signals, fleet.clock.now());
      teller.recordStateChange();
    };
    const countLimited = (): number =>
      serving().filter(
        ({ constraints }) => constraints.openings('s', fleet.clock.now()) !== undefined,
      ).length;
    tell(3.1);
    await fleet.clock.advance(2_000);
    assert.equal(countLimited(), serving().length);
    tell(undefined);
    await fleet.clock.advance(2_000);
    assert.equal(countLimited(), 0);
    fleet.end();
  }),
);
