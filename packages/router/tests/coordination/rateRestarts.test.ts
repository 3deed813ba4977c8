import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis, TeamConfig, Tokens } from '@camphorvane/core';
import { RATE_TOLERANCE, StoreFleet } from '../support/StoreFleet.ts';

const TEAM: TeamConfig = {
  ...{ id: 't', keyDigests: [], models: [], weight: 1 },
  rate: { tokensPerSecond: 1_000, burstTokens: 2_000 },
};

const TOKENS = 200;

const TICK_MS: Millis = 50;

/** Most that may be charged in any window. */
const ALLOWED: Tokens =
  (TEAM.rate.tokensPerSecond * (RATE_TOLERANCE.windowMs / 1_000) + TEAM.rate.burstTokens) *
    (1 + RATE_TOLERANCE.over) +
  RATE_TOLERANCE.slackTokens;

/** Has each host charge as much as it may, and gets the most tokens that were charged in a window. */
async function mostCharged(
  hosts: number,
  steps: readonly (readonly [Millis, (fleet: StoreFleet) => void])[],
): Promise<Tokens> {
  const fleet = new StoreFleet(hosts);
  await fleet.clock.advance(14_000);
  const from = fleet.clock.now();
  steps.forEach(([at, run]) => fleet.clock.after(at, () => run(fleet)));
  const charged: Millis[] = [];
  while (fleet.clock.now() < from + 20_000) {
    const now = fleet.clock.now();
    const charges = fleet.getLiveHosts().map(async ({ coordination }) => {
      coordination.rates.setTeams([TEAM]);
      let charge = await coordination.rates.charge(TEAM.id, TOKENS);
      while (charge.isOk()) {
        charged.push(now);
        charge = await coordination.rates.charge(TEAM.id, TOKENS);
      }
    });
    await Promise.all(charges);
    await fleet.clock.advance(TICK_MS);
  }
  fleet.end();
  const sums = charged.map(
    (start) => charged.filter((at) => at >= start && at < start + RATE_TOLERANCE.windowMs).length,
  );
  return Math.max(0, ...sums) * TOKENS;
}

const killAll = (fleet: StoreFleet): void =>
  fleet.getLiveHosts().forEach((host) => fleet.restart(host));

const CASES: readonly (readonly [
  string,
  readonly (readonly [Millis, (fleet: StoreFleet) => void])[],
])[] = [
  ['nothing happens', []],
  ['all hosts are killed at once', [[4_000, killAll]]],
  [
    'all hosts are killed at once three times',
    [
      [3_000, killAll],
      [5_000, killAll],
      [7_000, killAll],
    ],
  ],
  [
    'hosts are killed in turn',
    Array.from(
      { length: 7 },
      (_, n) =>
        [
          2_000 + n * 700,
          (fleet: StoreFleet) => fleet.restart(fleet.hosts[n] ?? assert.fail()),
        ] as const,
    ),
  ],
];

// Guards against processes that have their part of a team's burst anew within a window in which it was used.
CASES.forEach(([what, steps]) =>
  test(`a team gets no more than its rate and burst in any window while ${what}`, async () => {
    const most = await mostCharged(7, steps);
    assert.ok(most <= ALLOWED, `${most} tokens, ${ALLOWED} allowed`);
    assert.ok(most > 0.5 * ALLOWED, `only ${most} tokens of ${ALLOWED}`);
  }),
);
