import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis, UpstreamId } from '@camphorvane/core';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import type { GateCall } from '@camphorvane/decisions';
import { CallShares } from '../../src/serving/CallShares.ts';
import { ServiceGates } from '../../src/serving/ServiceGates.ts';

const HOSTS = 6;
const SERVERS = ['s1', 's2', 's3'];
const PLACES = 6;
const CALL_MS: Millis = 86;
const WORD_MS: Millis = 200;
const STEP_MS: Millis = 2;
const WAIT_MS: Millis = 386;

interface Load {
  readonly perSecond: number;
  /** Parts of the calls that come to each host. */
  readonly parts: readonly number[];
  /** Whether hosts tell each other what they have. */
  readonly areHeard: boolean;
}

interface Outcome {
  readonly asked: number;
  readonly placed: number;
  /** Most calls that one server had at once. */
  readonly most: number;
}

/** Plays hosts before three servers, for four seconds. */
async function play({ perSecond, parts, areHeard }: Load): Promise<Outcome> {
  const clock = new VirtualClock();
  const random = new RandomSource(7);
  const running = new Map<UpstreamId, number>(SERVERS.map((id) => [id, 0]));
  const service = { servers: SERVERS.map((id) => ({ id, maxConcurrent: PLACES })) };
  const directory = { getService: () => service };
  const hosts = Array.from({ length: HOSTS }, (_, i) => {
    const shares = new CallShares();
    const chance = new RandomSource(i + 1);
    const gates = new ServiceGates(clock, chance, directory as never, () => HOSTS, shares);
    return { shares, gates };
  });
  let outcome: Outcome = { asked: 0, placed: 0, most: 0 };
  const send = async (host: number): Promise<void> => {
    const gates = hosts[host]?.gates;
    assert.ok(gates !== undefined, 'no such host');
    outcome = { ...outcome, asked: outcome.asked + 1 };
    const call: GateCall = {
      ...{ request: `r${outcome.asked}`, team: 't', class: 'lookup' },
      ...{ maxWaitMs: WAIT_MS, avoid: [] },
    };
    const chosen = await gates.choose('orders', call, new AbortController().signal);
    if (chosen.isErr()) return;
    const busy = (running.get(chosen.value) ?? 0) + 1;
    running.set(chosen.value, busy);
    const most = Math.max(outcome.most, busy);
    outcome = { ...outcome, placed: outcome.placed + 1, most };
    clock.after(CALL_MS, () => {
      running.set(chosen.value, (running.get(chosen.value) ?? 1) - 1);
      gates.ended('orders', call, chosen.value, false);
    });
  };
  const hostOf = (draw: number): number => {
    const upTo = parts.map((_, i) => parts.slice(0, i + 1).reduce((sum, part) => sum + part, 0));
    return Math.max(
      0,
      upTo.findIndex((sum) => draw < sum),
    );
  };
  const tell = (): void =>
    hosts.forEach((to, i) =>
      hosts.forEach((from, j) => {
        if (i !== j) to.shares.receive(`h${j}`, from.shares.getOwn(), clock.now());
      }),
    );
  let owed = 0;
  await Array.from({ length: 4_000 / STEP_MS }, (_, i) => i * STEP_MS).reduce(
    async (before, now) => {
      await before;
      if (areHeard && now % WORD_MS === 0) tell();
      owed += (perSecond * STEP_MS) / 1_000;
      const due = Math.floor(owed);
      owed -= due;
      Array.from({ length: due }, () => hostOf(random.next())).forEach((host) => {
        void send(host);
      });
      await clock.advance(STEP_MS);
    },
    Promise.resolve(),
  );
  await clock.advance(1_000);
  return outcome;
}

const SKEWED = [0.35, 0.3, 0.2, 0.1, 0.03, 0.02];
const EVEN = SKEWED.map(() => 1 / HOSTS);

// Callers come to three of six hosts, as after the loss of a zone. With an equal part of the places those
// three refuse every third call, while more than half of the servers' places are empty.
test('calls that come to a few hosts get the places that the others leave empty', async () => {
  const load = { perSecond: 150, parts: SKEWED };
  const shared = await play({ ...load, areHeard: true });
  const equal = await play({ ...load, areHeard: false });
  assert.ok(shared.placed >= shared.asked * 0.98, JSON.stringify({ shared, equal }));
  assert.ok(equal.placed <= equal.asked * 0.9, JSON.stringify({ shared, equal }));
});

// Twice as much is asked as the servers can do. Words are up to 200 ms old, and a call takes less; if the
// hosts went by what they believe to be empty, servers would get calls that they have no place for.
test('at saturation servers get no more than they have places and queue for', async () => {
  const outcome = await play({ perSecond: 420, parts: EVEN, areHeard: true });
  assert.ok(outcome.most <= PLACES + 2, JSON.stringify(outcome));
  const capacity = (SERVERS.length * PLACES * 4_000) / CALL_MS;
  assert.ok(outcome.placed >= capacity * 0.9, JSON.stringify(outcome));
});

test('at saturation that comes to a few hosts servers are hardly overfilled', async () => {
  const outcome = await play({ perSecond: 420, parts: SKEWED, areHeard: true });
  assert.ok(outcome.most <= PLACES + 3, JSON.stringify(outcome));
});
