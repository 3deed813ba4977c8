import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { OverloadPolicy } from '@camphorvane/core';
import { NO_OVERLOAD_POLICY, VirtualClock } from '@camphorvane/core';
import { Metrics } from '@camphorvane/router';
import { GossipRateGate } from '../../src/coordination/GossipRateGate.ts';
import { TurnRegistry } from '../../src/serving/TurnRegistry.ts';
import { ForwardFleet } from '../support/ForwardFleet.ts';

const ON: OverloadPolicy = { ...NO_OVERLOAD_POLICY, returnTurns: true };

const REQUEST = { team: 't', priority: 1, units: 1, leftMs: 9_000, targetMs: 300 };
const DRAIN = { drainPerMs: 0.1, backlogMs: 990 };
const RETRY = { priority: 1, ageMs: 0, leftMs: 9_000, targetMs: 300 };

after(() => ForwardFleet.stopAll());

interface Host {
  readonly clock: VirtualClock;
  readonly metrics: Metrics;
  readonly turns: TurnRegistry;
  policy: OverloadPolicy;
}

function host(policy: OverloadPolicy): Host {
  const clock = new VirtualClock();
  const metrics = new Metrics();
  const made: Partial<Host> = { clock, metrics, policy };
  const directory = { getOverloadPolicy: () => made.policy ?? NO_OVERLOAD_POLICY };
  return Object.assign(made, { turns: new TurnRegistry({ clock, directory, metrics }) }) as Host;
}

// Guards against turns that go on after the configuration has switched them off, or need a restart.
test('turns follow the switch while the host runs', () => {
  const one = host(NO_OVERLOAD_POLICY);
  const quote = { queue: 'service/s', priority: 1, waitMs: 500, turns: 3 };
  one.turns.receive('p', [quote]);
  assert.equal(one.turns.forService('s'), undefined);
  assert.equal(one.turns.forPool('m'), undefined);
  one.policy = ON;
  const scheduler = one.turns.forService('s');
  assert.equal(scheduler?.statusOf(900, 1, 0), 'early', 'quotes were ignored while off');
  one.turns.receiveSum([quote]);
  assert.equal(scheduler?.statusOf(900, 1, 0), 'in_turn');
  assert.equal(scheduler?.grant(REQUEST, DRAIN, 0).type, 'turn');
  assert.deepEqual(
    one.turns.getQuotes().map(({ queue }) => queue),
    ['service/s'],
  );
  one.policy = NO_OVERLOAD_POLICY;
  assert.equal(one.turns.forService('s'), undefined);
  assert.deepEqual(one.turns.getQuotes(), []);
});

// Guards against turns whose outcome operators can't see.
test('offers, returns and expired turns are counted', async () => {
  const { turns, clock, metrics } = host(ON);
  const queue = { kind: 'pool', name: 'm' } as const;
  const scheduler = turns.forPool('m');
  scheduler?.grant(REQUEST, DRAIN, 0);
  scheduler?.grant(REQUEST, DRAIN, 0);
  scheduler?.grant({ ...REQUEST, leftMs: 900 }, DRAIN, 0);
  await clock.advance(1_000);
  turns.recordArrival(queue, 1, 0);
  turns.recordArrival(queue, 1, 400);
  turns.recordArrival(queue, 1, 1_000);
  await clock.advance(300);
  assert.deepEqual(turns.dump(), { 'pool/m': 0 });
  assert.deepEqual(metrics.getCounts(), {
    'turns.expired.pool': 1,
    'turns.offered.pool.no_turn': 1,
    'turns.offered.pool.turn': 2,
    'turns.returned.pool.early': 1,
    'turns.returned.pool.in_turn': 1,
  });
});

// Guards against a rate gate that decides otherwise than before while turns are switched off.
test('the rate gate gives turns while they are switched on, and decides as before otherwise', async () => {
  const refusals = async (policy: OverloadPolicy): Promise<readonly (number | undefined)[]> => {
    const { turns, clock } = host(policy);
    const gate = new GossipRateGate(clock, { over: 0, slackTokens: 0, windowMs: 1 }, turns);
    const rate = { tokensPerSecond: 100, burstTokens: 1_000 };
    gate.setTeams([{ id: 't', rate, keyDigests: [], models: [], weight: 1 }]);
    const results = await Promise.all(
      Array.from({ length: 40 }, () => gate.charge('t', 100, RETRY)),
    );
    return results.map((result) => (result.isErr() ? result.error.retryAfterMs : undefined));
  };
  const before = await refusals(NO_OVERLOAD_POLICY);
  assert.deepEqual(before.slice(9, 12), [undefined, 1_000, 2_000]);
  assert.equal(before.at(-1), 30_000);
  const turns = await refusals(ON);
  assert.deepEqual(turns.slice(9, 11), [undefined, 1_112]);
  assert.ok(Math.max(...turns.map((waitMs) => waitMs ?? 0)) < 4_000);
});

// Guards against refusals that don't know the caller's time left, which would be given turns beyond it.
test('time left and target of a forwarded request reach the refusal over the rate', async () => {
  const rate = { tokensPerSecond: 150, burstTokens: 150 };
  const refusalsOf = async (path: string, overload?: OverloadPolicy): Promise<number> => {
    const fleet = new ForwardFleet({ rate, overload });
    const sent = await Promise.all(Array.from({ length: 8 }, () => fleet.send(path)));
    const waits = sent
      .flat()
      .map((event) => (event.type === 'refused' ? event.refusal.retryAfterMs : 0));
    return Math.max(...waits.map((waitMs) => waitMs ?? 0));
  };
  assert.ok((await refusalsOf('/llm/x')) > 5_000);
  assert.ok((await refusalsOf('/llm/x', ON)) < 2_500, 'a stream');
  assert.ok((await refusalsOf('/safe/x', ON)) < 2_500, 'a plain call');
});
