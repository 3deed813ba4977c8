import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { concurrencyShare, roundShare, SHARE_PERIOD_MS, slotShare } from '@camphorvane/decisions';

const SLOTS = 18;
const NAMES = Array.from({ length: 12 }, (_, i) => `h${String(i).padStart(2, '0')}`);
const calls = fc.array(fc.integer({ min: 0, max: 30 }), { minLength: 2, maxLength: 12 });
const time = fc.integer({ min: 0, max: 2 ** 41 });
const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

function sharesOf(counts: readonly number[]): readonly number[] {
  const total = sum(counts);
  return counts.map((ownCalls) => {
    const view = { concurrency: SLOTS, silentHosts: 0, hosts: counts.length };
    return concurrencyShare({ ...view, ownCalls, peerCalls: total - ownCalls });
  });
}

// Guards against 36 calls in flight for 18 slots, as 12 hosts with one call for each of 3 servers make.
test('whole shares of hosts with equally many calls sum to the slots in every period', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 30 }),
      time,
      fc.integer({ min: 1, max: 12 }),
      (own, at, hosts) => {
        const names = NAMES.slice(0, hosts);
        const rounded = sharesOf(names.map(() => own)).map((share, i) =>
          roundShare(share, names[i] ?? '', names, at),
        );
        assert.ok(Math.abs(sum(rounded) - SLOTS) <= 1, rounded.join());
      },
    ),
  );
});

test('whole shares of hosts with any numbers of calls sum to the slots on average', () => {
  fc.assert(
    fc.property(calls, time, (counts, at) => {
      const names = NAMES.slice(0, counts.length);
      const shares = sharesOf(counts);
      const periods = counts.length * 40;
      const totals = Array.from({ length: periods }, (_, k) =>
        sum(
          shares.map((share, i) =>
            roundShare(share, names[i] ?? '', names, at + k * SHARE_PERIOD_MS),
          ),
        ),
      );
      assert.ok(Math.abs(sum(totals) / periods - sum(shares)) <= 0.5);
    }),
  );
});

// Guards against a host whose share is below one and always rounded down.
test('a host with calls gets a slot in some periods, however small its share', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0.02, max: 0.99, noNaN: true }),
      fc.nat(11),
      time,
      (share, i, at) => {
        const periods = Math.ceil(3 / share) + NAMES.length * 2;
        const rounded = Array.from({ length: periods }, (_, k) =>
          roundShare(share, NAMES[i] ?? '', NAMES, at + k * SHARE_PERIOD_MS),
        );
        assert.ok(rounded.includes(1), `${share}`);
      },
    ),
  );
});

// Guards against a host that gets its first call under overload and has no share until its next report.
test('a host without reported calls has a share although the others need all slots', () => {
  const share = slotShare({
    concurrency: SLOTS,
    ownCalls: 0,
    peerCalls: 60,
    silentHosts: 0,
    hosts: 12,
  });
  assert.ok(share > 0.2 && share < 1, `${share}`);
});
