import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis, UpstreamId } from '@camphorvane/core';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import type { GateCall } from '@camphorvane/decisions';
import { SlowStart, slowStartQuota } from '@camphorvane/decisions';
import { CallShares } from '../../src/serving/CallShares.ts';
import { ServiceGates } from '../../src/serving/ServiceGates.ts';

const HOSTS = 6;
const SERVERS = ['s1', 's2', 's3'];
const PLACES = 6;
const CALL_MS: Millis = 86;
const WORD_MS: Millis = 200;
const STEP_MS: Millis = 2;
const WAIT_MS: Millis = 386;
const SLOW_START = { forMs: 60_000, requestsPerSecond: 15 };

interface Load {
  readonly perSecond: number;
  /** Parts of the calls that come to each host. */
  readonly parts: readonly number[];
  /** Whether hosts tell each other what they have. */
  readonly areHeard: boolean;
  /** Servers that have just started, and go on starting for the whole time. */
  readonly starting?: readonly UpstreamId[];
}

interface Outcome {
  readonly asked: number;
  readonly placed: number;
  /** Most calls that one server had at once. */
  readonly most: number;
  /** Times at which servers that have just started got calls. */
  readonly startingAt: readonly Millis[];
}

/** Plays hosts before three servers, for four seconds. */
async function play({ perSecond, parts, areHeard, starting = [] }: Load): Promise<Outcome> {
  const clock = new VirtualClock();
  const random = new RandomSource(7);
  const running = new Map<UpstreamId, number>(SERVERS.map((id) => [id, 0]));
  const service = { servers: SERVERS.map((id) => ({ id, maxConcurrent: PLACES })) };
  const directory = { getService: () => service };
  const hosts = Array.from({ length: HOSTS }, (_, i) => {
    const shares = new CallShares();
    const chance = new RandomSource(i + 1);
    const names = Array.from({ length: HOSTS }, (_one, index) => `h${index}`);
    const slowStart = new SlowStart((server, bound) =>
      slowStartQuota(server, `h${i}`, names, bound),
    );
    slowStart.reshape(new Map(starting.map((id) => [id, SLOW_START])));
    starting.forEach((id) => slowStart.started(id, SLOW_START.forMs, 0));
    const hostCount = (): number => HOSTS;
    const sources = [clock, chance, directory as never, hostCount, shares, slowStart] as const;
    const gates = new ServiceGates(...sources);
    return { shares, gates };
  });
  let outcome: Outcome = { asked: 0, placed: 0, most: 0, startingAt: [] };
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
    if (starting.includes(chosen.value)) {
      outcome = { ...outcome, startingAt: [...outcome.startingAt, clock.now()] };
    }
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

// Guards against a burst that crashes a server which has just started, as it is empty and looks best to all.
test('a server that has just started gets no more than its bound in a burst, and no call is lost', async () => {
  const load = { perSecond: 90, parts: EVEN, areHeard: true, starting: ['s1'] };
  const { asked, placed, startingAt } = await play(load);
  const most = Math.max(
    ...startingAt.map((at) => startingAt.filter((one) => one >= at && one < at + 1_000).length),
  );
  assert.ok(most <= SLOW_START.requestsPerSecond, `${most} in a second`);
  assert.ok(startingAt.length >= 20, `${startingAt.length} in all`);
  assert.equal(placed, asked);
});

// Guards against calls that wait although a server which has just started may get the next one.
test('where all servers have just started, calls are served at the pace that is allowed', async () => {
  const { placed } = await play({ perSecond: 90, parts: EVEN, areHeard: true, starting: SERVERS });
  const allowed = SERVERS.length * SLOW_START.requestsPerSecond * (4_000 / 1_500);
  assert.ok(placed >= allowed * 0.9, `${placed} of ${allowed}`);
});
