import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { ReturnTurns } from '@camphorvane/decisions';
import type { TurnOffer } from '@camphorvane/decisions';

/** A queue that drains one unit in 10 ms and has no backlog. */
const DRAIN = { drainPerMs: 0.1, backlogMs: 0 };

interface Caller {
  readonly team: string;
  readonly priority: number;
  readonly units: number;
  readonly leftMs: Millis;
}

function book(isShared = true): {
  readonly turns: ReturnTurns;
  readonly expired: number[];
  readonly refuse: (now: Millis, caller?: Partial<Caller>, backlogMs?: Millis) => TurnOffer;
} {
  const expired: number[] = [];
  const turns = new ReturnTurns({ isShared, onExpired: (count) => expired.push(count) });
  const refuse = (now: Millis, caller: Partial<Caller> = {}, backlogMs = 0): TurnOffer => {
    const req = { team: 'a', priority: 1, units: 1, leftMs: 15_000, targetMs: 300, ...caller };
    return turns.grant(req, { ...DRAIN, backlogMs }, now);
  };
  return { turns, expired, refuse };
}

const times = <T>(count: number, of: (i: number) => T): readonly T[] =>
  Array.from({ length: count }, (_, i) => of(i));

const waitsOf = (offers: readonly TurnOffer[]): readonly Millis[] =>
  offers.map(({ retryAfterMs }) => retryAfterMs);

// Guards against callers that return together and are refused again.
test('turns follow the backlog at the drain rate', () => {
  const { refuse } = book(false);
  const offers = times(4, () => refuse(0, {}, 500));
  assert.deepEqual(waitsOf(offers), [510, 520, 530, 540]);
  assert.ok(offers.every(({ type }) => type === 'turn'));
});

// Guards against a flood of less urgent refusals after which an urgent caller gets the last turn.
test('a more urgent caller gets an earlier turn than less urgent ones that came before', () => {
  const { refuse } = book();
  refuse(0, { priority: 0, team: 'urgent' });
  const flood = times(100, (i) => refuse(1, { priority: 2, team: `t${i}` }));
  const late = refuse(2, { priority: 2, team: 'z' });
  const urgent = refuse(2, { priority: 0, team: 'u' });
  assert.ok(urgent.retryAfterMs * 5 < late.retryAfterMs, `${urgent.retryAfterMs} ms`);
  assert.ok(waitsOf(flood.slice(20)).every((waitMs) => waitMs > urgent.retryAfterMs));
});

// Guards against a team whose many refusals take all turns before another team is refused for the first time.
test('teams of one priority alternate', () => {
  const { refuse } = book();
  times(50, () => refuse(0, { team: 'a' }));
  const first = refuse(0, { team: 'b' }).retryAfterMs;
  assert.ok(first <= 100, `the first turn of the other team comes after ${first} ms`);
  const both = book();
  const teams = times(60, (i) => (i % 4 === 1 ? 'b' : 'a'));
  const offers = teams.map((team) => ({ team, ...both.refuse(0, { team }) }));
  const waits = (team: string): readonly Millis[] =>
    waitsOf(offers.filter((offer) => offer.team === team));
  assert.ok((waits('b')[14] ?? 0) < 15 * 30, 'each team gets half of three quarters');
  assert.ok((waits('a')[14] ?? 0) > 15 * 20, 'no team gets more turns since it is refused more');
});

// Guards against retry times that rise to minutes, since callers that give up are booked as well.
test('a turn that its caller cannot take delays no later caller', () => {
  const { refuse } = book(false);
  const patient = refuse(0, {}, 1_000);
  const short = times(300, () => refuse(0, { leftMs: 2_000 }, 1_000));
  assert.deepEqual(new Set(short.map(({ type }) => type)), new Set(['no_turn']));
  assert.deepEqual(waitsOf([patient, ...short.slice(-1)]), [1_010, 1_020]);
  assert.equal(refuse(0, {}, 1_000).retryAfterMs, 1_020);
  const lateTarget = refuse(0, { leftMs: 1_400, units: 0.1 }, 1_150);
  assert.equal(lateTarget.type, 'no_turn', 'the response would miss its target');
});

// Guards against unbounded memory in a flood of refusals.
test('a full book gives no turns, says when there will be capacity, and has room once turns expire', () => {
  const { turns, refuse, expired } = book(false);
  const offers = times(600, () => refuse(0, { leftMs: 60_000 }));
  assert.equal(offers.filter(({ type }) => type === 'turn').length, 512);
  assert.equal(turns.countTurns(0), 512);
  assert.deepEqual(new Set(waitsOf(offers.slice(512))), new Set([5_130]));
  assert.equal(refuse(271, { leftMs: 60_000 }).type, 'turn');
  assert.deepEqual(expired, [2], 'turns expire 250 ms after their time');
});

// Guards against capacity that stays reserved for callers that do not return.
test('capacity is reserved only while a turn may be used', () => {
  const { turns, refuse } = book(false);
  times(5, () => refuse(0));
  const reserved = (now: Millis, priority = 1): number =>
    turns.reservedUnits(priority, { drainPerMs: 0.1, leadMs: 0 }, now);
  assert.equal(Math.round(reserved(0)), 0, 'until its time, the units of a turn still flow in');
  assert.equal(Math.round(reserved(50)), 5);
  assert.equal(reserved(50, 0), 0, 'a more urgent request may use them');
  assert.equal(turns.recordReturn(1, 50), true);
  assert.equal(Math.round(reserved(50)), 4);
  assert.equal(reserved(301), 0);
  assert.equal(turns.recordReturn(1, 301), false);
});

test('a caller is told to come back after a second while nothing drains', () => {
  const { turns } = book();
  const req = { team: 'a', priority: 1, units: 1, leftMs: 15_000, targetMs: 300 };
  const offer = turns.grant(req, { drainPerMs: 0, backlogMs: Infinity }, 0);
  assert.deepEqual(offer, { type: 'no_turn', retryAfterMs: 1_000 });
});

// Guards against returns in turn that queue behind new requests because another host gave the turn.
test('a return is recognized by its age, wherever its caller was refused', () => {
  const { turns, refuse } = book();
  assert.equal(turns.statusOf(1_000, 1, 0), 'early', 'no host gave a turn lately');
  refuse(0, {}, 990);
  assert.deepEqual(
    [0, 790, 800].map((ageMs) => turns.statusOf(ageMs, 1, 10)),
    ['new', 'early', 'in_turn'],
  );
  assert.equal(turns.statusOf(3_000, 2, 10), 'early', 'quotes hold for their priority');
  const peer = new ReturnTurns({ isShared: true, onExpired: () => undefined });
  peer.receive('host that is gone', turns.getQuotes(10), 10);
  assert.equal(peer.statusOf(800, 1, 500), 'in_turn');
  assert.equal(peer.statusOf(790, 1, 500), 'early');
});

// Guards against a rising wait that makes callers early who return when they were told to.
test('a caller that returns when it was told to is in its turn although the wait has risen since', () => {
  const { turns, refuse } = book();
  refuse(0, {}, 490);
  times(20, (i) => refuse(300 + i, {}, 3_000));
  assert.equal(turns.statusOf(500, 1, 500), 'in_turn');
  assert.equal(turns.statusOf(500, 1, 900), 'early');
});

// Guards against hosts that do not hear each other and classify returns by an outdated quote.
test('the quoted wait falls back to that of the host itself when peers are silent', () => {
  const { turns, refuse } = book();
  refuse(0, {}, 490);
  turns.receiveSum([{ priority: 1, waitMs: 4_500, turns: 9 }], 0);
  assert.equal(Math.round(turns.quotedMs(0, 1, 1_000) ?? 0), 500, 'first quote at that time');
  assert.ok((turns.quotedMs(5_000, 1, 1_000) ?? 0) > 3_500);
  refuse(1_600, {}, 490);
  assert.equal(Math.round(turns.quotedMs(5_000, 1, 1_600) ?? 0), 500);
});
