import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { CALLER_TIMEOUT_MS, RelayFleet, ROUTE } from '../support/RelayFleet.ts';
import type { CallerRequest, LostLinks } from '../support/RelayFleet.ts';

/** Milliseconds after the beginning of a cut from which hosts are held to the bound. */
const SERVED_FROM_MS: Millis = 1_000;

/** Smallest ratio of the served fraction at hosts that are cut off to that at the others. */
const MIN_SERVED_RATIO = 2 / 3;

/** First tries that may fail at hosts that are cut off: a number, and a fraction of all. */
const TOLERATED_FAILURES = 10;
const TOLERATED_FRACTION = 1 / 50;

/** Milliseconds after the end of a cut after which no request is passed on any more. */
const BACK_MS: Millis = 300;

/** Milliseconds that a connection may take after the time that is left was computed. */
const CONNECT_MARGIN_MS: Millis = 10;

interface Load {
  readonly perSecond: number;
  /** Indexes of the hosts that callers use, whatever the directory says. */
  readonly indexes: readonly number[];
}

const random = new RandomSource(42);

async function sendFor(fleet: RelayFleet, { perSecond, indexes }: Load, ms: Millis): Promise<void> {
  const until = fleet.clock.now() + ms;
  while (fleet.clock.now() < until) {
    const index = indexes[random.int(0, indexes.length - 1)] ?? 0;
    void fleet.send(index, random.next() < 0.5 ? '/safe/' : '/once/');
    await fleet.clock.advance(1_000 / perSecond);
  }
}

function isServed({ end }: CallerRequest): boolean {
  return end === 'done';
}

/** Asserts the platform's bound on first tries at hosts that are cut off. */
function assertServed(fleet: RelayFleet, since: Millis, until: Millis): void {
  const tries = fleet.requests.filter(({ sentAt }) => sentAt >= since && sentAt < until);
  const atCut = tries.filter(({ host }) => fleet.lost.has(host));
  const others = tries.filter(({ host }) => !fleet.lost.has(host));
  const served = atCut.filter(isServed).length;
  const othersServed = others.filter(isServed).length;
  const isWorse = served * others.length < atCut.length * othersServed * MIN_SERVED_RATIO;
  const isMuch = atCut.length - served > TOLERATED_FAILURES + tries.length * TOLERATED_FRACTION;
  const text = `${served} of ${atCut.length} at cut hosts, ${othersServed} of ${others.length}`;
  assert.ok(!(isWorse && isMuch), text);
  assert.ok(atCut.length > 0 && othersServed > others.length * 0.9, text);
}

/** Asserts what holds for each request over all hosts that it passes. */
function assertPromises(fleet: RelayFleet): void {
  const runs = fleet.runs.reduce(
    (all, run) => all.set(run.id, [...(all.get(run.id) ?? []), run]),
    new Map<string, typeof fleet.runs>(),
  );
  const most = Math.max(...[...runs.values()].map((list) => list.length));
  assert.ok(most <= ROUTE.attempts, `a request ran ${most} times`);
  const refused = fleet.requests.filter(({ end }) => end.endsWith('not_run'));
  assert.deepEqual(
    refused.filter(({ id }) => runs.has(id)),
    [],
  );
  const latest = Math.max(...fleet.runs.map(({ deadlineMs }) => deadlineMs));
  assert.ok(latest <= CALLER_TIMEOUT_MS + CONNECT_MARGIN_MS, `a server was given ${latest} ms`);
  assert.deepEqual(
    fleet.requests.filter(({ end }) => end === 'open'),
    [],
  );
}

interface Cut {
  readonly name: string;
  readonly hosts: number;
  readonly servers: number;
  readonly isCut: (index: number) => boolean;
  readonly links: LostLinks;
  readonly perSecond: number;
}

const NINE = { hosts: 9, servers: 3, perSecond: 60 };
const LARGE = { hosts: 350, servers: 40, perSecond: 400 };

const CUTS: readonly Cut[] = [
  { ...NINE, name: 'one host', isCut: (i) => i === 4, links: 'hanging' },
  { ...NINE, name: 'six hosts', isCut: (i) => i < 6, links: 'refusing' },
  { ...NINE, name: 'six hosts', isCut: (i) => i < 6, links: 'hanging' },
  { ...NINE, name: 'all hosts of a zone', isCut: (i) => i % 3 === 1, links: 'hanging' },
  { ...LARGE, name: 'a third of all hosts', isCut: (i) => i % 3 === 1, links: 'hanging' },
];

// Guards against hosts that are cut off from all servers and serve their callers far worse than the others, and
// against requests that are passed on after the cut has ended.
CUTS.forEach(({ name, hosts, servers, isCut, links, perSecond }) =>
  test(`${name} of ${hosts} with ${links} links serve callers as the others do`, async () => {
    const fleet = new RelayFleet(hosts, servers);
    try {
      await fleet.clock.advance(9_000);
      const named = new Set(fleet.hosts.flatMap((host) => fleet.namedBy(host)));
      const indexes = fleet.hosts.flatMap((host, i) => (named.has(host.name) ? [i] : []));
      const load = { perSecond, indexes };
      await sendFor(fleet, load, 1_500);
      const cutAt = fleet.clock.now();
      const cut = fleet.hosts.filter((_, i) => isCut(i)).map((host) => host.name);
      fleet.lost = new Map(cut.map((host) => [host, links]));
      await sendFor(fleet, load, 4_000);
      await fleet.clock.advance(CALLER_TIMEOUT_MS);
      assertServed(fleet, cutAt + SERVED_FROM_MS, cutAt + 4_000);
      fleet.lost = new Map();
      const endedAt = fleet.clock.now();
      await sendFor(fleet, load, 2_000);
      await fleet.clock.advance(CALLER_TIMEOUT_MS);
      const late = fleet.relayed.filter(({ at }) => at > endedAt + BACK_MS);
      assert.equal(late.length, 0);
      const after = fleet.requests.filter(({ sentAt }) => sentAt >= endedAt + BACK_MS);
      assert.deepEqual(
        after.filter((request) => !isServed(request)),
        [],
      );
      assertPromises(fleet);
    } finally {
      fleet.end();
    }
  }),
);

// Guards against requests that circle among hosts, wait for their deadline or storm the last host.
test('where no host reaches a server, requests are refused at once and say so', async () => {
  const fleet = new RelayFleet(9, 3);
  try {
    await fleet.clock.advance(9_000);
    const load = { perSecond: 60, indexes: fleet.hosts.map((_, i) => i) };
    fleet.lost = new Map(fleet.hosts.map(({ name }) => [name, 'hanging']));
    await sendFor(fleet, load, 2_500);
    await fleet.clock.advance(CALLER_TIMEOUT_MS);
    const since = fleet.clock.now();
    const before = fleet.relayed.length;
    const requests = fleet.requests.length;
    await sendFor(fleet, load, 1_000);
    const ends = fleet.requests.slice(requests).map(({ end }) => end);
    assert.deepEqual(new Set(ends), new Set(['upstreams_unreachable not_run']));
    assert.equal(fleet.relayed.length, before);
    assert.equal(fleet.clock.now() - since >= 1_000, true);
    assertPromises(fleet);
  } finally {
    fleet.end();
  }
});
