import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';
import { StoreFleet } from '../support/StoreFleet.ts';
import type { StoreHost } from '../support/StoreFleet.ts';

const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'other side closed' };

/** A request with the same content as its repeats; each repeat has an id of its own. */
const POISON = { id: 'r', digest: 'b'.repeat(64) };

/** Milliseconds after the third crash within which all hosts have to know of it; see docs/RULES-KEPT.md. */
const KNOWN_MS: Millis = 3_000;

async function withFleet(count: number, run: (fleet: StoreFleet) => Promise<void>): Promise<void> {
  const fleet = new StoreFleet(count);
  try {
    await fleet.settle();
    await run(fleet);
  } finally {
    fleet.end();
  }
}

/** Has the request crash one upstream after the other, each seen by another host. */
async function crash(fleet: StoreFleet, hosts: readonly (StoreHost | undefined)[]): Promise<void> {
  await hosts.reduce(async (before, host, n) => {
    await before;
    host?.coordination.crashGuard.recordFailure(POISON, `u${n}`, CRASHED);
    await fleet.clock.advance(300);
  }, Promise.resolve());
}

function countRefusing(fleet: StoreFleet): number {
  return fleet.hosts.filter(
    ({ coordination }) => coordination.crashGuard.refusalFor(POISON) !== undefined,
  ).length;
}

// Guards against a request that crashes three upstreams for each host that it is sent to.
[9, 350].forEach((count) =>
  test(`${count} hosts refuse a request that crashed three upstreams at three of them`, () =>
    withFleet(count, async (fleet) => {
      await crash(fleet, [fleet.hosts[1], fleet.hosts[4], fleet.hosts[count - 1]]);
      await fleet.clock.advance(KNOWN_MS - 300);
      assert.equal(countRefusing(fleet), count);
    })),
);

/** Has a request crash three upstreams, and waits until all hosts know of it. */
async function quarantine(fleet: StoreFleet): Promise<void> {
  await crash(fleet, fleet.hosts.slice(0, 3));
  await fleet.clock.advance(KNOWN_MS);
}

// Guards against a request that is let through again, three times, after its hosts have restarted.
test('hosts that restart refuse a request that crashed three upstreams before', () =>
  withFleet(9, async (fleet) => {
    await quarantine(fleet);
    fleet.hosts.slice(0, 4).forEach((host) => fleet.restart(host));
    await fleet.clock.advance(KNOWN_MS);
    assert.equal(countRefusing(fleet), 9);
    // All hosts forget at once, twice: nobody is left to tell, and only the store remembers.
    Object.assign(fleet, { passes: () => false });
    fleet.hosts.forEach((host) => fleet.restart(host));
    await fleet.clock.advance(KNOWN_MS);
    assert.equal(countRefusing(fleet), 9);
    fleet.hosts.forEach((host) => fleet.restart(host));
    await fleet.clock.advance(KNOWN_MS);
    assert.equal(countRefusing(fleet), 9);
  }));

// Guards against a request that is let through once a minute, or that is refused for good.
test('a request is refused for ten minutes after its last crash', () =>
  withFleet(3, async (fleet) => {
    await quarantine(fleet);
    await fleet.clock.advance(590_000);
    assert.equal(countRefusing(fleet), 3);
    await fleet.clock.advance(20_000);
    assert.equal(countRefusing(fleet), 0);
    fleet.hosts[2]?.coordination.crashGuard.recordFailure(POISON, 'u9', CRASHED);
    await fleet.clock.advance(KNOWN_MS);
    assert.equal(countRefusing(fleet), 3);
  }));

// Guards against hosts that hear nothing of each other for a time, and that go on counting for themselves.
test('hosts that were cut off from their peers learn of the crashes afterwards', () =>
  withFleet(9, async (fleet) => {
    const isCutOff = (name: string): boolean => name < 'h002';
    const passes: StoreFleet['passes'] = (from, to) => isCutOff(from) === isCutOff(to);
    Object.assign(fleet, { passes });
    Object.assign(fleet.store, { isUnavailable: true });
    await crash(fleet, [fleet.hosts[2], fleet.hosts[3], fleet.hosts[0], fleet.hosts[4]]);
    await fleet.clock.advance(KNOWN_MS - 300);
    assert.equal(countRefusing(fleet), 7);
    await fleet.clock.advance(20_000);
    Object.assign(fleet, { passes: () => true });
    await fleet.clock.advance(KNOWN_MS);
    assert.equal(countRefusing(fleet), 9);
  }));

// Guards against a success that one host sees and the others never learn of.
test('a success at one host clears a request at all hosts', () =>
  withFleet(9, async (fleet) => {
    await quarantine(fleet);
    fleet.hosts[7]?.coordination.crashGuard.recordSuccess(POISON);
    await fleet.clock.advance(1_000);
    assert.equal(countRefusing(fleet), 0);
  }));

// Guards against messages that grow with what ran beside the culprit; a datagram holds 64 KB, and a host has
// 30 KB a second for all of its control.
test('the reports of a crash with hundreds of requests fit into small datagrams', () =>
  withFleet(30, async (fleet) => {
    fleet.hosts.forEach(({ coordination }, host) =>
      Array.from({ length: 200 }, (_, n) => `${host}-${n}`).forEach((id) =>
        coordination.crashGuard.recordFailure({ id, digest: id.padEnd(64, 'x') }, 'u0', CRASHED),
      ),
    );
    await fleet.clock.advance(KNOWN_MS);
    assert.ok(fleet.largestDatagram < 8_000, `${fleet.largestDatagram} bytes`);
  }));
