import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { ReturnTurns } from '@camphorvane/decisions';
import type { TurnOffer } from '@camphorvane/decisions';
import fc from 'fast-check';

const DRAIN_PER_MS = 0.05;
const MAX_UNITS = 4;

interface Refused {
  readonly team: string;
  readonly priority: number;
  readonly units: number;
  readonly leftMs: Millis;
  /** Time since the refusal before it. */
  readonly afterMs: Millis;
  readonly backlogMs: Millis;
}

interface Granted extends Refused {
  readonly now: Millis;
  readonly offer: TurnOffer;
}

const refusals = fc.array(
  fc.record({
    team: fc.constantFrom('a', 'b', 'c'),
    priority: fc.integer({ min: 0, max: 3 }),
    units: fc.double({ min: 0.1, max: MAX_UNITS, noNaN: true }),
    leftMs: fc.integer({ min: 0, max: 15_000 }),
    afterMs: fc.integer({ min: 0, max: 300 }),
    backlogMs: fc.integer({ min: 0, max: 2_000 }),
  }),
  { maxLength: 120 },
);

function play(all: readonly Refused[], turns: ReturnTurns): readonly Granted[] {
  let now = 0;
  return all.map((refused) => {
    now += refused.afterMs;
    const req = { ...refused, targetMs: 300 };
    const drain = { drainPerMs: DRAIN_PER_MS, backlogMs: refused.backlogMs };
    return { ...refused, now, offer: turns.grant(req, drain, now) };
  });
}

const newBook = (isShared: boolean): ReturnTurns =>
  new ReturnTurns({ isShared, onExpired: () => undefined });

// Guards against callers that return when their capacity has been given to others as well.
test('no capacity is booked twice, and each turn can be taken by its caller', () => {
  fc.assert(
    fc.property(refusals, fc.boolean(), (all, isShared) => {
      const granted = play(all, newBook(isShared)).filter(({ offer }) => offer.type === 'turn');
      granted.forEach(({ offer, leftMs, backlogMs }) => {
        assert.ok(offer.retryAfterMs <= Math.min(leftMs / 3, leftMs - 300));
        assert.ok(offer.retryAfterMs >= backlogMs);
      });
      const due = granted
        .map(({ now, offer, units }) => ({ at: now + offer.retryAfterMs, units }))
        .sort((a, b) => a.at - b.at);
      due.forEach(({ at: from }, i) => {
        let units = 0;
        due.slice(i).forEach((turn) => {
          units += turn.units;
          // A turn takes what drains before its time, so up to two turns and a rounding lie across the ends.
          const most = DRAIN_PER_MS * (turn.at - from + 2) + 2 * MAX_UNITS;
          assert.ok(units <= most + 1e-6, `${units} units within ${turn.at - from} ms`);
        });
      });
    }),
  );
});

// Guards against a less urgent caller that is served at the cost of a more urgent one.
test('a more urgent caller never gets a later turn than a less urgent one would', () => {
  fc.assert(
    fc.property(refusals, fc.boolean(), fc.integer({ min: 0, max: 3 }), (all, isShared, urgent) => {
      const probe = { team: 'new', units: 1, leftMs: 15_000, afterMs: 1, backlogMs: 0 };
      const waitOf = (priority: number): Millis =>
        play([...all, { ...probe, priority }], newBook(isShared)).at(-1)?.offer.retryAfterMs ?? 0;
      assert.ok(waitOf(urgent) <= waitOf(urgent + 1));
    }),
  );
});
