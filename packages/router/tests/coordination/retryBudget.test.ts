import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import type { StoreHost } from '../support/StoreFleet.ts';
import { RETRY_ALLOWANCE, StoreFleet } from '../support/StoreFleet.ts';

const { ratio, slack, windowMs } = RETRY_ALLOWANCE;

const TICK_MS: Millis = 50;

/** Ticks between two requests at each host. */
const TICKS_PER_REQUEST = 10;

/** Milliseconds that hosts run before anything is rejected, longer than a window. */
const WARM_UP_MS: Millis = 14_000;

/** Something that happens to the fleet, in milliseconds after the first rejected request. */
interface Step {
  readonly at: Millis;
  readonly run: (fleet: StoreFleet) => void;
}

interface Play {
  readonly requests: readonly Millis[];
  readonly retries: readonly Millis[];
}

/** Sends requests to all hosts of a fleet, and has each one retried as often as its budget allows. */
async function playRejections(
  fleet: StoreFleet,
  steps: readonly Step[],
  lengthMs: Millis,
): Promise<Play> {
  await fleet.clock.advance(WARM_UP_MS);
  const requests: Millis[] = [];
  const retries: Millis[] = [];
  const from = fleet.clock.now();
  steps.forEach(({ at, run }) => fleet.clock.after(at, () => run(fleet)));
  const retryAll = (host: StoreHost): void => {
    const now = fleet.clock.now();
    const target = { team: 't', service: 's', upstream: 'u1' };
    while (host.coordination.retryGate.tryRetry(target, now)) retries.push(now);
  };
  for (let tick = 0; tick * TICK_MS < lengthMs; tick += 1) {
    fleet.getLiveHosts().forEach((host, index) => {
      if ((tick + index) % TICKS_PER_REQUEST === 0) {
        const now = fleet.clock.now();
        requests.push(now);
        host.coordination.retryGate.recordAttempt({ team: 't', service: 's' }, ['u1'], now);
      }
      retryAll(host);
    });
    await fleet.clock.advance(TICK_MS);
  }
  fleet.end();
  const sinceStart = (at: Millis): Millis => at - from;
  return { requests: requests.map(sinceStart), retries: retries.map(sinceStart) };
}

/** Gets by how much retries exceed what is allowed, in the window in which they do so most. */
function excessOf({ requests, retries }: Play): number {
  const countIn = (all: readonly Millis[], start: Millis): number =>
    all.filter((at) => at >= start && at < start + windowMs).length;
  const excesses = [...new Set(retries)].map((start) => {
    const earlier = [0, windowMs / 2, windowMs].map((ms) => countIn(requests, start - ms));
    return countIn(retries, start) - ratio * Math.max(...earlier) - slack;
  });
  return Math.max(-Infinity, ...excesses);
}

const killAll = (fleet: StoreFleet): void =>
  fleet.getLiveHosts().forEach((host) => fleet.restart(host));

function hostOf(fleet: StoreFleet, index: number): StoreHost {
  return fleet.hosts[index] ?? assert.fail('no such host');
}

const atTimes = (times: readonly Millis[], run: Step['run']): readonly Step[] =>
  times.map((at) => ({ at, run }));

/** Has something happen several times, by default to the first hosts, one after the other. */
function inTurn(
  count: number,
  gapMs: Millis,
  run: (fleet: StoreFleet, host: StoreHost, index: number) => void,
  hostAt = (index: number): number => index,
): readonly Step[] {
  return Array.from({ length: count }, (_, index) => ({
    at: 1_000 + index * gapMs,
    run: (fleet) => run(fleet, hostOf(fleet, hostAt(index)), index),
  }));
}

const kill = (fleet: StoreFleet, host: StoreHost): void => fleet.restart(host);

const stop = (fleet: StoreFleet, host: StoreHost): void => fleet.stopAndRestart(host);

const replace = (fleet: StoreFleet, host: StoreHost, index: number): void => {
  fleet.kill(host);
  fleet.add(`h${String(500 + index)}`);
};

const cut = (hosts: readonly string[]) => (fleet: StoreFleet) => {
  Object.assign(fleet, {
    passes: (from: string, to: string) => hosts.includes(from) === hosts.includes(to),
  });
};

type Case = readonly [what: string, hosts: number, steps: readonly Step[]];

const CASES: readonly Case[] = [
  ['nothing happens', 7, []],
  ['all of 7 hosts are killed at once', 7, atTimes([3_000], killAll)],
  ['all of 7 hosts are killed at once three times', 7, atTimes([3_000, 6_000, 9_000], killAll)],
  ['7 hosts are killed in turn', 7, inTurn(7, 900, kill)],
  ['7 hosts are stopped in turn', 7, inTurn(7, 900, stop)],
  ['7 hosts are replaced in turn', 7, inTurn(7, 900, replace)],
  ['one of 7 hosts is killed every second', 7, inTurn(9, 1_000, kill, () => 3)],
  ['two of 6 hosts are killed four times', 6, inTurn(8, 1_100, kill, (n) => n % 2)],
  ['both of 2 hosts are killed in turn, twice', 2, inTurn(4, 1_500, kill, (n) => n % 2)],
  ['a host that is alone is killed', 1, inTurn(1, 2_000, kill)],
  [
    '7 hosts hear nothing of each other and are killed in turn',
    7,
    [
      { at: 0, run: (fleet) => Object.assign(fleet, { passes: () => false }) },
      ...inTurn(7, 900, kill),
    ],
  ],
  [
    '3 of 7 hosts are out of touch with the others, and killed',
    7,
    [{ at: 500, run: cut(['h000', 'h001', 'h002']) }, ...inTurn(3, 1_000, kill)],
  ],
  ['4 hosts join 5 others', 5, inTurn(4, 700, (fleet, _, n) => fleet.add(`h${String(500 + n)}`))],
  ['12 hosts with relays are killed in turn', 12, inTurn(12, 500, kill)],
  ['all of 30 hosts are killed at once', 30, atTimes([3_000], killAll)],
  ['half of 30 hosts are stopped in turn', 30, inTurn(15, 400, stop)],
];

// Guards against processes that have their part of the slack anew within a window in which it was used.
CASES.forEach(([what, hosts, steps]) =>
  test(`retries stay within the allowance of any window while ${what}`, async () => {
    const play = await playRejections(new StoreFleet(hosts), steps, 24_000);
    const excess = excessOf(play);
    assert.ok(excess <= 0, `${excess} retries too many of ${play.retries.length}`);
    assert.ok(play.retries.length > ratio * play.requests.length * 0.5, 'hardly any retries');
  }),
);

/** Has each host retry as many requests as a crashed engine has failed there, and counts those refused. */
function refusedRetries(fleet: StoreFleet, streams: number): number {
  const now = fleet.clock.now();
  const target = { team: 't', service: 's', upstream: 'u1' };
  return fleet
    .getLiveHosts()
    .flatMap(({ coordination }) => Array.from({ length: streams }, () => coordination))
    .filter(({ retryGate }) => !retryGate.tryRetry(target, now)).length;
}

const CALM_CASES: readonly (readonly [string, number, (fleet: StoreFleet) => void])[] = [
  ['that has run for a window', 7, () => undefined],
  ['of which one host was killed', 7, (fleet) => kill(fleet, hostOf(fleet, 2))],
  ['of which one host was stopped', 7, (fleet) => stop(fleet, hostOf(fleet, 2))],
  ['of which one host was replaced', 7, (fleet) => replace(fleet, hostOf(fleet, 2), 0)],
  ['of 9 hosts of which one was killed', 9, (fleet) => kill(fleet, hostOf(fleet, 8))],
  [
    'that was stopped in turn a moment before',
    7,
    (fleet) => fleet.hosts.forEach((host) => stop(fleet, host)),
  ],
];

// Guards against streams that are lost with their engine since a host has restarted while nothing was wrong.
CALM_CASES.forEach(([what, hosts, disturb]) =>
  test(`a calm fleet ${what} retries what a crashed engine has failed`, async () => {
    const fleet = new StoreFleet(hosts);
    await fleet.clock.advance(WARM_UP_MS);
    disturb(fleet);
    await fleet.clock.advance(3_500);
    assert.equal(refusedRetries(fleet, 4), 0);
    fleet.end();
  }),
);

// Guards against hosts with relays that have no part of the slack for a window after a restart.
test('a host of a large fleet retries soon after its restart', async () => {
  const fleet = new StoreFleet(12);
  await fleet.clock.advance(WARM_UP_MS);
  kill(fleet, hostOf(fleet, 11));
  await fleet.clock.advance(5_000);
  assert.equal(refusedRetries(fleet, 2), 0);
  fleet.end();
});
