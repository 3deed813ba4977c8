import assert from 'node:assert/strict';
import { test } from 'node:test';
import { gossipTimings } from '@camphorvane/decisions';
import type { GossipHost } from '../support/GossipFleet.ts';
import { GossipFleet } from '../support/GossipFleet.ts';

const USE = { prefillTokens: 10, streams: 1, memoryTokens: 100 };

/** What a host believes that all together have on an engine. */
const streamsAt = (fleet: GossipFleet, host: GossipHost): number =>
  host.book.getTotal('e', fleet.clock.now()).streams;

const namesOf = (fleet: GossipFleet, host: GossipHost): readonly string[] =>
  host.roster.getMembers(fleet.clock.now()).map((mate) => mate.host);

async function play(count: number, run: (fleet: GossipFleet) => Promise<void>): Promise<void> {
  const fleet = new GossipFleet(count);
  try {
    await run(fleet);
  } finally {
    fleet.end();
  }
}

/** Has each host place two requests a second. */
async function busy(fleet: GossipFleet, forMs: number): Promise<void> {
  const stepMs = 500;
  const steps = Array.from({ length: forMs / stepMs }, (_, i) => i);
  await steps.reduce(async (before) => {
    await before;
    fleet.hosts.forEach((host) => host.noteNews());
    await fleet.clock.advance(stepMs);
  }, Promise.resolve());
}

// With every host speaking to every other, a fleet ten times as large has each host say ten times as
// much, and weak hosts spend their processor and link on it in place of their callers.
test('what an ordinary host says does not grow with the fleet', async () => {
  const costs: { readonly words: number; readonly bytes: number }[] = [];
  const measure = (count: number) =>
    play(count, async (fleet) => {
      await busy(fleet, 4_000);
      const ordinary = fleet.hosts.slice(6);
      const words = ordinary.reduce((sum, host) => sum + host.sent, 0) / ordinary.length;
      const bytes = ordinary.reduce((sum, host) => sum + host.bytes, 0) / ordinary.length;
      costs.push({ words: words / 4, bytes: bytes / 4 });
    });
  await measure(12);
  await measure(90);
  const [small, large] = costs;
  assert.ok(large !== undefined && small !== undefined);
  assert.ok(
    large.words <= small.words,
    `${large.words} words a second, ${small.words} in a small one`,
  );
  assert.ok(large.words < 15, `${large.words} words a second`);
});

test('each host learns what all others together have on an engine', async () => {
  await play(30, async (fleet) => {
    fleet.hosts.forEach((host) => Object.assign(host, { use: new Map([['e', USE]]) }));
    await fleet.clock.advance(2_000);
    fleet.hosts.forEach((host) => assert.equal(streamsAt(fleet, host), 29, host.name));
  });
});

// The three hosts that pass on words die at the same moment. Everybody else speaks to the dead then,
// and would for as long as their records last; callers would be sent to dead hosts all the while.
test('after the death of all relays the others find a new one', async () => {
  await play(30, async (fleet) => {
    await fleet.clock.advance(3_000);
    fleet.hosts.slice(0, 3).forEach((host) => Object.assign(host, { isDown: true }));
    await fleet.clock.advance(3 * gossipTimings(30).silentMs);
    const living = fleet.hosts.slice(3);
    const expected = living.map((host) => host.name);
    living.forEach((host) => assert.deepEqual(namesOf(fleet, host), expected, host.name));
  });
});

// A network splits the fleet in two, each with relays of its own, and heals. Nobody has a reason to
// speak to the other half any more, so both would go on apart.
test('halves that lost each other find each other again', async () => {
  await play(30, async (fleet) => {
    await fleet.clock.advance(2_000);
    const left = new Set(fleet.hosts.filter((_, i) => i % 2 === 0).map((host) => host.name));
    Object.assign(fleet, {
      passes: (from: GossipHost, to: GossipHost) => left.has(from.name) === left.has(to.name),
    });
    await fleet.clock.advance(10_000);
    fleet.hosts.forEach((host) => assert.equal(namesOf(fleet, host).length, 15, host.name));
    Object.assign(fleet, { passes: () => true });
    await fleet.clock.advance(4 * gossipTimings(30).silentMs);
    fleet.hosts.forEach((host) => assert.equal(namesOf(fleet, host).length, 30, host.name));
  });
});

// One team sends eight times its rate to a fleet that tells each other by relays, one of which dies
// in the middle. What each host learns late, or from another relay, must not be given away twice.
test('a team far beyond its rate stays within the tolerance, also when a relay dies', async () => {
  const team = 't';
  const rate = { tokensPerSecond: 20_000, burstTokens: 20_000 };
  const stepMs = 50;
  const windowMs = 8_000;
  const charged: number[] = [];
  await play(30, async (fleet) => {
    fleet.hosts.forEach((host) => host.rates.reconfigure(new Map([[team, rate]]), 0));
    await fleet.clock.advance(1_000);
    let turn = 0;
    const step = async (index: number): Promise<void> => {
      if (index === 120) Object.assign(fleet.hosts[0] ?? {}, { isDown: true });
      const asked = Array.from({ length: (8 * rate.tokensPerSecond * stepMs) / 1_000 / 500 });
      const got = asked.filter(() => {
        turn += 1;
        const host = fleet.hosts[turn % fleet.hosts.length];
        if (host === undefined || host.isDown) return false;
        host.noteNews();
        return host.rates.charge(team, 500, fleet.clock.now()).type === 'charged';
      });
      charged.push(got.length * 500);
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
  assert.ok(Math.max(...windows) <= allowed, `${Math.max(...windows)} of ${allowed}`);
  const all = charged.reduce((a, b) => a + b, 0);
  assert.ok(all >= rate.tokensPerSecond * 20 * 0.9, `${all} in 20 s`);
});

const ITEM = {
  ...{ request: 'r', holder: 'h', team: 't', weight: 1, class: 'lookup' as const, prefixes: [] },
  ...{ promptTokens: 3_000, maxOutputTokens: 800, maxWaitMs: 2_500, avoid: [] },
};

/** Requests of the last half minute that a host knows of. */
const demandAt = (fleet: GossipFleet, host: GossipHost): number =>
  host.demand.getBuckets('m', fleet.clock.now()).reduce((sum, span) => sum + span.requests, 0);

// The host that decides about the roles sees a small part of the callers itself. It must know what is
// asked of all, also where words come as sums of a relay, and also after that relay has died.
test('each host learns what is asked of all others together', async () => {
  const learn = (count: number) =>
    play(count, async (fleet) => {
      await busy(fleet, 2_000);
      fleet.hosts.forEach((host) => host.demand.recordRequest('m', ITEM, fleet.clock.now()));
      await busy(fleet, 3_000);
      const known = fleet.hosts.map((host) => demandAt(fleet, host));
      assert.deepEqual(
        known,
        fleet.hosts.map(() => count),
      );
      Object.assign(fleet.hosts[0] ?? {}, { isDown: true });
      await busy(fleet, 3_000);
      const living = fleet.hosts.slice(1);
      living.forEach((host) => host.demand.recordRequest('m', ITEM, fleet.clock.now()));
      await busy(fleet, 3_000);
      living.forEach((host) => {
        const more = demandAt(fleet, host) - count;
        assert.ok(more >= (count - 1) * 0.9 && more <= count * 1.1, `${host.name} ${more}`);
      });
    });
  await learn(6);
  await learn(30);
});

test('all hosts learn which engines change their role', async () => {
  const learn = (count: number) =>
    play(count, async (fleet) => {
      await busy(fleet, 2_000);
      const [first, ...others] = fleet.hosts;
      Object.assign(first ?? {}, { moves: [{ engine: 'e', role: 'decode', leftMs: 9_000 }] });
      await busy(fleet, 1_000);
      const now = fleet.clock.now();
      const unaware = others.filter((host) => host.heardMoves.getTargetRole('e', now) !== 'decode');
      assert.deepEqual(
        unaware.map((host) => host.name),
        [],
      );
    });
  await learn(6);
  await learn(30);
});

test('all hosts learn how many requests wait on the others and can still be on time', async () => {
  const learn = (count: number) =>
    play(count, async (fleet) => {
      fleet.hosts.forEach((host) => host.demand.recordRequest('m', ITEM, fleet.clock.now()));
      await busy(fleet, 3_000);
      const [first, second, ...others] = fleet.hosts;
      Object.assign(first ?? {}, { waiting: 3 });
      Object.assign(second ?? {}, { waiting: 2 });
      await busy(fleet, 1_000);
      const now = fleet.clock.now();
      others.forEach((host) => assert.equal(host.peersWaiting.sum('m', now), 5, host.name));
      assert.equal(first?.peersWaiting.sum('m', now), 2);
      assert.equal(others[0]?.peersWaiting.sum('m', now + 1_000), 0);
    });
  await learn(6);
  await learn(30);
});

const servingOf = (fleet: GossipFleet, host: GossipHost): readonly string[] =>
  host.roster
    .getMembers(fleet.clock.now())
    .filter((member) => member.serving && member.zone === 'a')
    .map((member) => member.host);

// Guards against callers who are sent to dead hosts while living ones of their zone stand by.
test('when the serving hosts of a zone die, others of the zone take their callers', async () => {
  await play(60, async (fleet) => {
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

test('a host that hears nobody takes callers itself', async () => {
  await play(60, async (fleet) => {
    Object.assign(fleet, { passes: () => false });
    await fleet.clock.advance(4_000);
    const now = fleet.clock.now();
    fleet.hosts.forEach((host) => assert.equal(host.roster.isServing(now), true, host.name));
  });
});
