import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CountedRates } from '@camphorvane/decisions';

const TOLERANCE = { over: 0.1, slackTokens: 12_000, windowMs: 8_000 };
const TEAM = 't';
const RATE = { tokensPerSecond: 10_000, burstTokens: 10_000 };
const STEP_MS = 10;

interface FleetOptions {
  readonly hosts: number;
  /** Milliseconds between two rounds of words between hosts; Infinity for hosts that are cut off. */
  readonly wordMs: number;
  /** Hosts that callers use. */
  readonly used?: number;
  /** Tokens asked for in a second over all hosts. */
  readonly askedPerSecond: number;
  readonly requestTokens: number;
  readonly forMs: number;
}

/** Plays hosts that charge the same team, and gets what was charged in each step. */
function play(options: FleetOptions): readonly number[] {
  const names = Array.from({ length: options.hosts }, (_, i) => `h${i}`);
  const rates = names.map(() => new CountedRates(TOLERANCE));
  rates.forEach((one, i) => {
    one.setSharers(
      names.filter((_, j) => j !== i),
      0,
    );
    one.reshape(new Map([[TEAM, RATE]]), 0);
  });
  const used = options.used ?? options.hosts;
  let owed = 0;
  let turn = 0;
  return Array.from({ length: options.forMs / STEP_MS }, (_, step) => {
    const now = step * STEP_MS;
    if (now % options.wordMs === 0) {
      rates.forEach((one, i) =>
        rates.forEach((other, j) => {
          if (i !== j) one.receive(names[j] ?? '', 's', new Map(other.getTotals()), now);
        }),
      );
    }
    owed += (options.askedPerSecond * STEP_MS) / 1_000;
    let charged = 0;
    while (owed >= options.requestTokens) {
      owed -= options.requestTokens;
      turn += 1;
      const outcome = rates[turn % used]?.charge(TEAM, options.requestTokens, now);
      if (outcome?.type === 'charged') charged += options.requestTokens;
    }
    return charged;
  });
}

/** Gets the most that was charged in any window. */
function mostInWindow(charged: readonly number[]): number {
  const steps = TOLERANCE.windowMs / STEP_MS;
  return charged.reduce(
    ({ most, sum }, tokens, i) => {
      const next = sum + tokens - (charged[i - steps] ?? 0);
      return { most: Math.max(most, next), sum: next };
    },
    { most: 0, sum: 0 },
  ).most;
}

/** What all hosts together may charge in a window. */
const ALLOWED =
  ((RATE.tokensPerSecond * TOLERANCE.windowMs) / 1_000 + RATE.burstTokens) * (1 + TOLERANCE.over) +
  TOLERANCE.slackTokens;

const sum = (all: readonly number[]): number => all.reduce((a, b) => a + b, 0);

test('a team that uses one host alone gets its whole rate there', () => {
  const charged = play({
    hosts: 6,
    wordMs: 50,
    used: 1,
    askedPerSecond: 9_900,
    requestTokens: 500,
    forMs: 20_000,
  });
  assert.ok(sum(charged) >= 9_900 * 20 * 0.98, `${sum(charged)} tokens`);
});

// One team sends eight times its rate to all hosts. Each host learns of the others' charges a moment
// late; if that moment counted each time anew, the team would take what others have paid for.
test('a team far beyond its rate stays within the tolerance in every window', () => {
  const charged = play({
    hosts: 6,
    wordMs: 50,
    askedPerSecond: 80_000,
    requestTokens: 500,
    forMs: 30_000,
  });
  assert.ok(mostInWindow(charged) <= ALLOWED, `${mostInWindow(charged)} of ${ALLOWED}`);
  assert.ok(sum(charged) >= RATE.tokensPerSecond * 30, 'and gets at least its rate');
});

// The network between hosts fails, while callers still reach all of them. If each host took the
// others for dead and used their rate, the team would get six times what it may.
test('hosts that hear nobody stay within the tolerance together', () => {
  const charged = play({
    hosts: 6,
    wordMs: Infinity,
    askedPerSecond: 80_000,
    requestTokens: 500,
    forMs: 30_000,
  });
  assert.ok(mostInWindow(charged) <= ALLOWED, `${mostInWindow(charged)} of ${ALLOWED}`);
});

// A host dies while the store is away, so nobody can tell that it will not come back. Callers within
// the rate go on at the other hosts, and must not notice.
test('a team within five sixths of its rate is served in full when one host of six is dead', () => {
  const hosts = Array.from({ length: 6 }, (_, i) => `h${i}`);
  const rates = new CountedRates(TOLERANCE);
  rates.setSharers(hosts.slice(1), 0);
  rates.reshape(new Map([[TEAM, RATE]]), 0);
  let refused = 0;
  Array.from({ length: 2_000 }, (_, step) => step * STEP_MS).forEach((now) => {
    hosts.slice(1, 5).forEach((host) => rates.receive(host, 's', new Map(), now));
    if (now % 100 === 0 && rates.charge(TEAM, 830, now).type === 'over_rate') refused += 1;
  });
  assert.equal(refused, 0);
});

// A host starts anew and counts from zero. If others took its small count for a refund, the team
// could spend what it had spent before a second time.
test('a peer that starts anew gives nothing back', () => {
  const rates = new CountedRates(TOLERANCE);
  rates.setSharers(['p'], 0);
  rates.reshape(new Map([[TEAM, RATE]]), 0);
  rates.receive('p', 'first', new Map([[TEAM, 5_000]]), 0);
  rates.receive('p', 'first', new Map([[TEAM, 9_000]]), 100);
  const before = rates.inspect(TEAM, 100).level;
  rates.receive('p', 'second', new Map([[TEAM, 0]]), 100);
  assert.equal(rates.inspect(TEAM, 100).level, before);
});

test('refused callers are told to come back one after the other', () => {
  const rates = new CountedRates({ over: 0, slackTokens: 0, windowMs: 8_000 });
  rates.reshape(new Map([[TEAM, RATE]]), 0);
  rates.charge(TEAM, 10_000, 0);
  const waits = [1, 2, 3].map(() => {
    const outcome = rates.charge(TEAM, 1_000, 0);
    return outcome.type === 'over_rate' ? outcome.retryAfterMs : 0;
  });
  assert.deepEqual(waits, [100, 200, 300]);
});

test('what a request did not use is there for the next one', () => {
  const rates = new CountedRates({ over: 0, slackTokens: 0, windowMs: 8_000 });
  rates.reshape(new Map([[TEAM, RATE]]), 0);
  rates.charge(TEAM, 10_000, 0);
  rates.refund(TEAM, 4_000, 0);
  assert.equal(rates.charge(TEAM, 4_000, 0).type, 'charged');
  assert.equal(rates.getTotals().get(TEAM), 10_000);
});
