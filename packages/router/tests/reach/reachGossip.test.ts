import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { callerAddresses } from '../../src/host/callerAddresses.ts';
import { StoreFleet } from '../support/StoreFleet.ts';
import type { StoreHost } from '../support/StoreFleet.ts';

/** Milliseconds after hosts have lost their links within which no directory names them any more. */
const NAMED_MS: Millis = 1_000;

/** Milliseconds between two requests of a host. */
const REQUEST_INTERVAL_MS: Millis = 150;

async function withFleet(count: number, run: (fleet: StoreFleet) => Promise<void>): Promise<void> {
  const fleet = new StoreFleet(count);
  try {
    await fleet.settle();
    await run(fleet);
  } finally {
    fleet.end();
  }
}

/** Advances the clock while hosts get requests. */
async function serveFor(fleet: StoreFleet, ms: Millis): Promise<void> {
  const until = fleet.clock.now() + ms;
  while (fleet.clock.now() < until) {
    fleet.hosts.forEach((host) => fleet.connect(host));
    await fleet.clock.advance(REQUEST_INTERVAL_MS);
  }
}

/** Gets the hosts that the directory of a host names to callers of any zone. */
function listAt({ coordination }: StoreHost): readonly string[] {
  return ['a', 'b', 'c'].flatMap((zone) => callerAddresses(coordination.members(), zone));
}

/** Gets the hosts, of those given, that some directory names. */
function namedBy(fleet: StoreFleet, names: ReadonlySet<string>): readonly string[] {
  const listed = new Set(fleet.hosts.flatMap(listAt).map((address) => address.split(':')[0] ?? ''));
  return [...names].filter((name) => listed.has(name));
}

function cutOff(fleet: StoreFleet, isCut: (index: number) => boolean): ReadonlySet<string> {
  const names = new Set(fleet.hosts.filter((_, i) => isCut(i)).map(({ name }) => name));
  Object.assign(fleet, { reaches: (name: string) => !names.has(name) });
  return names;
}

// Guards against directories that go on naming hosts which have lost their links to upstreams.
[
  { hosts: 9, cut: 'one', isCut: (i: number) => i === 4 },
  { hosts: 9, cut: 'six', isCut: (i: number) => i < 6 },
  { hosts: 9, cut: 'all of a zone', isCut: (i: number) => i % 3 === 1 },
  { hosts: 350, cut: 'a third', isCut: (i: number) => i % 3 === 1 },
].forEach(({ hosts, cut, isCut }) =>
  test(`${cut} of ${hosts} hosts that are cut off are named by no directory after a second`, () =>
    withFleet(hosts, async (fleet) => {
      await serveFor(fleet, 1_500);
      const names = cutOff(fleet, isCut);
      await serveFor(fleet, NAMED_MS);
      assert.deepEqual(namedBy(fleet, names), []);
      assert.ok(fleet.hosts.every((host) => listAt(host).length > 0));
      Object.assign(fleet, { reaches: () => true });
      await serveFor(fleet, NAMED_MS);
      const named = namedBy(fleet, names).length;
      // Of a large fleet, a part takes callers.
      assert.ok(hosts > 9 ? named > 0 : named === names.size, `${named} are named again`);
    })),
);

// Guards against requests that go to peers which can't serve them, in a large fleet too.
[9, 350].forEach((count) =>
  test(`${count} hosts pass requests on to hosts that reach the upstreams only`, () =>
    withFleet(count, async (fleet) => {
      await serveFor(fleet, 1_500);
      const names = cutOff(fleet, (i) => i % 3 === 1);
      await serveFor(fleet, NAMED_MS);
      const peers = fleet.hosts
        .filter(({ name }) => names.has(name))
        .map(({ coordination }) => coordination.context.reach.getRelayPeers('s'));
      assert.ok(peers.every((list) => list.length >= 2));
      assert.ok(peers.every((list) => list.every(({ host }) => !names.has(host))));
    })),
);

// Guards against requests that go to hosts of an earlier version, and against a restart that hides a host's loss.
test('hosts that restart, or run an earlier version, are told apart', () =>
  withFleet(9, async (fleet) => {
    const [old, restarted, cut] = fleet.hosts;
    if (old === undefined || restarted === undefined || cut === undefined) return;
    fleet.reachless.add(old.name);
    fleet.restart(old);
    const names = cutOff(fleet, (i) => i === 1 || i === 2);
    await serveFor(fleet, 2_000);
    const hostsOf = (): readonly string[] =>
      cut.coordination.context.reach.getRelayPeers('s').map(({ host }) => host);
    assert.equal(hostsOf().length, 6);
    assert.ok(!hostsOf().includes(old.name));
    fleet.restart(restarted);
    await serveFor(fleet, 9_000);
    assert.deepEqual(namedBy(fleet, names), []);
    assert.equal(hostsOf().length, 6);
  }));

// Guards against directories that name only idle hosts, or none, since upstreams are down for everybody.
test('upstreams that are down for all show no host as cut off', () =>
  withFleet(9, async (fleet) => {
    await serveFor(fleet, 1_500);
    const names = cutOff(fleet, () => true);
    await serveFor(fleet, 3_000);
    assert.equal(namedBy(fleet, names).length, 9);
    const routes = fleet.hosts.map(({ coordination }) => coordination.context.reach.getRoute('s'));
    assert.deepEqual(new Set(routes), new Set(['none']));
  }));

// Guards against messages that outgrow a datagram, or a host's control traffic, when a third of a fleet is cut off.
test('a third of 350 hosts that are cut off fits into small datagrams', () =>
  withFleet(350, async (fleet) => {
    await serveFor(fleet, 1_500);
    Object.assign(fleet, { largestDatagram: 0 });
    cutOff(fleet, (i) => i % 3 === 1);
    await serveFor(fleet, 2_000);
    assert.ok(fleet.largestDatagram < 8_000, `${fleet.largestDatagram} bytes`);
  }));
