import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DistributedRateLimiter } from '@camphorvane/decisions';

const TOLERANCE = { over: 0.1, slackTokens: 12_000, windowMs: 8_000 };
const TEAM = 't';
const RATE = { tokensPerSecond: 10_000, burstTokens: 10_000 };
const STEP_MS = 10;

interface FleetOptions {
  readonly hosts: number;
  /** Milliseconds between two rounds of gossip; Infinity if the hosts are partitioned. */
  readonly gossipMs: number;
  /** Number of hosts that callers send requests to; all by default. */
  readonly usedHosts?: number;
  /** Tokens requested each second from all hosts together. */
  readonly requestedPerSecond: number;
  readonly requestTokens: number;
  readonly durationMs: number;
}

/** Simulates hosts that charge the same team, and gets the tokens charged in each step. */
function simulate(options: FleetOptions): readonly number[] {
  const names = Array.from({ length: options.hosts }, (_, i) => `h${i}`);
  const rates = names.map(() => new DistributedRateLimiter(TOLERANCE));
  rates.forEach((one, i) => {
    one.setPeerHosts(
      names.filter((_, j) => j !== i),
      0,
    );
    one.reconfigure(new Map([[TEAM, RATE]]), 0);
  });
  const usedHosts = options.usedHosts ?? options.hosts;
  let pendingTokens = 0;
  let turn = 0;
  return Array.from({ length: options.durationMs / STEP_MS }, (_, step) => {
    const now = step * STEP_MS;
    if (now % options.gossipMs === 0) {
      rates.forEach((one, i) =>
        rates.forEach((other, j) => {
          if (i !== j) one.receive(names[j] ?? '', 's', new Map(other.getTotals()), now);
        }),
      );
    }
    pendingTokens += (options.requestedPerSecond * STEP_MS) / 1_000;
    let charged = 0;
    while (pendingTokens >= options.requestTokens) {
      pendingTokens -= options.requestTokens;
      turn += 1;
      const outcome = rates[turn % usedHosts]?.charge(TEAM, options.requestTokens, now);
      if (outcome?.type === 'charged') charged += options.requestTokens;
    }
    return charged;
  });
}

/** Gets the most tokens charged in any window. */
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

/** Tokens that all hosts together may charge in a window. */
const ALLOWED =
  ((RATE.tokensPerSecond * TOLERANCE.windowMs) / 1_000 + RATE.burstTokens) * (1 + TOLERANCE.over) +
  TOLERANCE.slackTokens;

const sum = (all: readonly number[]): number => all.reduce((a, b) => a + b, 0);

test('a team that sends all requests to one host gets its whole rate', () => {
  const charged = simulate({
    hosts: 6,
    gossipMs: 50,
    usedHosts: 1,
    requestedPerSecond: 9_900,
    requestTokens: 500,
    durationMs: 20_000,
  });
  assert.ok(sum(charged) >= 9_900 * 20 * 0.98, `${sum(charged)} tokens`);
});

// One team sends eight times its rate to all hosts. Each host learns of the others' charges late; if
// each delay added to the excess, the team would take the capacity of others.
test('a team that sends far more than its rate stays within the tolerance in every window', () => {
  const charged = simulate({
    hosts: 6,
    gossipMs: 50,
    requestedPerSecond: 80_000,
    requestTokens: 500,
    durationMs: 30_000,
  });
  assert.ok(mostInWindow(charged) <= ALLOWED, `${mostInWindow(charged)} of ${ALLOWED}`);
  assert.ok(sum(charged) >= RATE.tokensPerSecond * 30, 'the team got less than its rate');
});

// The hosts are partitioned from each other while callers still reach all of them. If each host took
// the others for failed and used their shares, the team would get six times its rate.
test('hosts that are partitioned from each other stay within the tolerance together', () => {
  const charged = simulate({
    hosts: 6,
    gossipMs: Infinity,
    requestedPerSecond: 80_000,
    requestTokens: 500,
    durationMs: 30_000,
  });
  assert.ok(mostInWindow(charged) <= ALLOWED, `${mostInWindow(charged)} of ${ALLOWED}`);
});

// A host fails while the store is unavailable, so nothing tells that it won't return and its share
// stays reserved. Callers of the other hosts that are within the rest must not be refused.
test('a team within five sixths of its rate is served in full if one host of six has failed', () => {
  const hosts = Array.from({ length: 6 }, (_, i) => `h${i}`);
  const rates = new DistributedRateLimiter(TOLERANCE);
  rates.setPeerHosts(hosts.slice(1), 0);
  rates.reconfigure(new Map([[TEAM, RATE]]), 0);
  let refused = 0;
  Array.from({ length: 2_000 }, (_, step) => step * STEP_MS).forEach((now) => {
    hosts.slice(1, 5).forEach((host) => rates.receive(host, 's', new Map(), now));
    if (now % 100 === 0 && rates.charge(TEAM, 830, now).type === 'over_rate') refused += 1;
  });
  assert.equal(refused, 0);
});

// A host restarts and counts from zero. If its peers took the lower count for a refund, the team could
// use the same tokens twice.
test('the restart of a peer refunds nothing', () => {
  const rates = new DistributedRateLimiter(TOLERANCE);
  rates.setPeerHosts(['p'], 0);
  rates.reconfigure(new Map([[TEAM, RATE]]), 0);
  rates.receive('p', 'first', new Map([[TEAM, 5_000]]), 0);
  rates.receive('p', 'first', new Map([[TEAM, 9_000]]), 100);
  const before = rates.inspect(TEAM, 100).level;
  rates.receive('p', 'second', new Map([[TEAM, 0]]), 100);
  assert.equal(rates.inspect(TEAM, 100).level, before);
});

test('refusals stagger their retry-after', () => {
  const rates = new DistributedRateLimiter({ over: 0, slackTokens: 0, windowMs: 8_000 });
  rates.reconfigure(new Map([[TEAM, RATE]]), 0);
  rates.charge(TEAM, 10_000, 0);
  const retryAfterMs = [1, 2, 3].map(() => {
    const outcome = rates.charge(TEAM, 1_000, 0);
    return outcome.type === 'over_rate' ? outcome.retryAfterMs : 0;
  });
  assert.deepEqual(retryAfterMs, [100, 200, 300]);
});

test('tokens that a request did not use are refunded', () => {
  const rates = new DistributedRateLimiter({ over: 0, slackTokens: 0, windowMs: 8_000 });
  rates.reconfigure(new Map([[TEAM, RATE]]), 0);
  rates.charge(TEAM, 10_000, 0);
  rates.refund(TEAM, 4_000, 0);
  assert.equal(rates.charge(TEAM, 4_000, 0).type, 'charged');
  assert.equal(rates.getTotals().get(TEAM), 10_000);
});
