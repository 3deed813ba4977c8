import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { DistributedRateLimiter, RequestAgeEstimator, TurnBooks } from '@camphorvane/decisions';

const TEAM = 't';
const RATE = { tokensPerSecond: 10_000, burstTokens: 10_000 };
const TOLERANCE = { over: 0.1, slackTokens: 12_000, windowMs: 8_000 };
const STEP_MS = 5;
const GOSSIP_MS = 200;
const LOAD_MS = 10_000;
const TARGET_MS = 900;
/** Most retries of a caller. */
const MAX_RETRIES = 2;

interface Load {
  /** Hosts of the fleet, and those of them that take callers. */
  readonly hosts: number;
  readonly serving: number;
  readonly perSecond: number;
  readonly tokens: number;
  readonly leftMs: Millis;
}

interface Outcome {
  readonly charged: number;
  /** Tokens charged in each step. */
  readonly chargedTokens: readonly number[];
  readonly turns: number;
  /** Waits that callers were told, whether they got a turn or not. */
  readonly waits: readonly Millis[];
  /** Longest wait for a turn, as a fraction of the time left. */
  readonly longestFraction: number;
  /** Callers that came back when their turn was due, and how many of them were charged. */
  readonly returned: number;
  readonly kept: number;
}

interface Caller {
  readonly firstAt: Millis;
  readonly at: Millis;
  readonly retries: number;
  readonly hasTurn: boolean;
}

/** Simulates a team whose refused callers return, at random hosts, when they are told to. */
function simulate({ hosts, serving, perSecond, tokens, leftMs }: Load): Outcome {
  const random = new RandomSource(3);
  const names = Array.from({ length: hosts }, (_, i) => `h${i}`);
  const fleet = names.map((name) => {
    const books = new TurnBooks({ onExpired: () => undefined });
    const turns = { find: () => books.find('rate/t'), get: () => books.get('rate/t') };
    const limiter = new DistributedRateLimiter(TOLERANCE, turns);
    limiter.setPeerHosts(
      names.filter((other) => other !== name),
      0,
    );
    limiter.reconfigure(new Map([[TEAM, RATE]]), 0);
    return { name, books, limiter, ages: new RequestAgeEstimator() };
  });
  const waits: Millis[] = [];
  let outcome = { charged: 0, turns: 0, longestFraction: 0, returned: 0, kept: 0 };
  let waiting: readonly Caller[] = [];
  let due = 0;
  const attempt = (caller: Caller, now: Millis): void => {
    const host = fleet[random.int(0, serving - 1)];
    if (host === undefined) return;
    const left = caller.firstAt + leftMs - now;
    const ageMs = host.ages.estimate('r', left, now);
    const retry = { priority: 1, ageMs, leftMs: left, targetMs: TARGET_MS };
    const result = host.limiter.charge(TEAM, tokens, now, retry);
    const { charged, turns, longestFraction, returned, kept } = outcome;
    const hasKept = caller.hasTurn && result.type === 'charged';
    outcome = {
      ...outcome,
      returned: returned + Number(caller.hasTurn),
      kept: kept + Number(hasKept),
    };
    if (result.type === 'charged') {
      outcome = { ...outcome, charged: charged + 1 };
      return;
    }
    const waitMs = result.retryAfterMs;
    waits.push(waitMs);
    const hasTurn = result.offer?.type === 'turn';
    if (hasTurn) {
      const fraction = Math.max(longestFraction, waitMs / left);
      outcome = { ...outcome, turns: turns + 1, longestFraction: fraction };
    }
    if (waitMs > left / 3 || caller.retries >= MAX_RETRIES) return;
    const at = now + waitMs + random.int(0, 50);
    waiting = [...waiting, { ...caller, at, retries: caller.retries + 1, hasTurn }];
  };
  const steps = Array.from({ length: (LOAD_MS + leftMs / 3) / STEP_MS }, (_, i) => i * STEP_MS);
  const chargedTokens = steps.map((now) => {
    const before = outcome.charged;
    if (now % GOSSIP_MS === 0) {
      fleet.forEach((from) => {
        const totals = new Map(from.limiter.getTotals());
        const quotes = from.books.getQuotes(now);
        fleet
          .filter((to) => to !== from)
          .forEach((to) => {
            to.limiter.receive(from.name, 's', totals, now);
            to.books.receive(from.name, quotes, now);
          });
      });
    }
    due += now < LOAD_MS ? (perSecond * STEP_MS) / 1_000 : 0;
    const arrivals = Math.floor(due);
    due -= arrivals;
    const caller = { firstAt: now, at: now, retries: 0, hasTurn: false };
    Array.from({ length: arrivals }).forEach(() => attempt(caller, now));
    const ready = waiting.filter(({ at }) => at <= now);
    waiting = waiting.filter(({ at }) => at > now);
    ready.forEach((one) => attempt(one, now));
    return (outcome.charged - before) * tokens;
  });
  return { ...outcome, chargedTokens, waits };
}

function check(load: Load): void {
  const { turns, waits, longestFraction, returned, kept, chargedTokens } = simulate(load);
  const told = `${turns} turns, ${kept} of ${returned} kept`;
  assert.ok(longestFraction <= 1 / 3, `a turn after ${longestFraction} of the time left`);
  assert.ok(Math.max(...waits) < load.leftMs, `callers were told ${Math.max(...waits)} ms`);
  assert.ok(returned >= 0.95 * turns && kept >= 0.8 * returned, told);
  const windowSteps = TOLERANCE.windowMs / STEP_MS;
  const allowed = ((RATE.tokensPerSecond * TOLERANCE.windowMs) / 1_000 + RATE.burstTokens) * 1.1;
  const most = chargedTokens.map((_, i) =>
    chargedTokens.slice(i, i + windowSteps).reduce((sum, one) => sum + one, 0),
  );
  assert.ok(Math.max(...most) <= allowed + TOLERANCE.slackTokens, `${Math.max(...most)} tokens`);
  const used = chargedTokens.reduce((sum, one) => sum + one, 0);
  assert.ok(used >= (RATE.tokensPerSecond * LOAD_MS) / 1_000, `the team used ${used} tokens`);
}

// Guards against retry times that rise to minutes, and against callers that find no tokens when they return
// as told: with unbounded turns a team's Retry-After rose from 2 ms to 232 s within seven seconds.
test('a team at ten times its rate gets retry times that its callers can use and that hold', () => {
  check({ hosts: 12, serving: 12, perSecond: 200, tokens: 500, leftMs: 14_000 });
});

// Guards against tokens that are set aside for standby hosts, which have no callers.
test('turns use the whole rate where a third of the hosts take callers', () => {
  check({ hosts: 36, serving: 12, perSecond: 200, tokens: 500, leftMs: 14_000 });
});

test('turns hold on a single host', () => {
  check({ hosts: 1, serving: 1, perSecond: 200, tokens: 500, leftMs: 14_000 });
});

// Guards against new requests that are refused to keep tokens for turns that nobody was given: the team then got
// an eighth less than without turns.
test('a team slightly above its rate gets its whole rate', () => {
  const { charged } = simulate({
    ...{ hosts: 12, serving: 12, perSecond: 30 },
    ...{ tokens: 500, leftMs: 14_000 },
  });
  assert.ok(charged >= 261, `${charged} requests were charged, 261 without turns`);
});
