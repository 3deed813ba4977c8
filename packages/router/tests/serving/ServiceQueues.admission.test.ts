import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis, UpstreamId } from '@camphorvane/core';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import type { ServiceQueueCall } from '@camphorvane/decisions';
import { SlowStart, UpstreamAdmission } from '@camphorvane/decisions';
import { ConcurrencyShares } from '../../src/serving/ConcurrencyShares.ts';
import { ServiceQueues } from '../../src/serving/ServiceQueues.ts';

const HOSTS = 12;
const SERVERS: readonly UpstreamId[] = ['s1', 's2', 's3'];
const SLOTS_PER_SERVER = 6;
const CALL_MS: Millis = 43;
const TARGET_MS: Millis = 300;
const REPORT_PERIOD_MS: Millis = 200;
const REPORT_DELAY_MS: Millis = 50;
const STEP_MS: Millis = 2;
/** Calls per second that all servers run. */
const CAPACITY = (SERVERS.length * SLOTS_PER_SERVER * 1_000) / CALL_MS;

interface Load {
  readonly isAdmissionOn: boolean;
  readonly perSecond: (at: Millis) => number;
  readonly forMs: Millis;
  /** Draws the host that gets a call; uniformly distributed where absent. */
  readonly hostOf?: (random: RandomSource) => number;
  /** Time at which the last server is lost. */
  readonly lostAt?: Millis;
}

interface Outcome {
  readonly sent: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Mean time after which callers are refused. */
  readonly refusedAfterMs: Millis;
  /** Calls that each host got answers for. */
  readonly served: readonly number[];
}

/** Simulates hosts with servers that queue calls beyond their slots; digests of reports arrive with a delay. */
async function simulate(load: Load, seed = 7): Promise<Outcome> {
  const clock = new VirtualClock();
  const random = new RandomSource(seed);
  let servers = SERVERS;
  const service = (): object => ({
    servers: servers.map((id) => ({ id, maxConcurrent: SLOTS_PER_SERVER })),
  });
  const busyUntil = new Map(SERVERS.map((id) => [id, Array(SLOTS_PER_SERVER).fill(0) as number[]]));
  const hosts = Array.from({ length: HOSTS }, (_, i) => {
    const shares = new ConcurrencyShares();
    const queues = new ServiceQueues(
      ...([clock, new RandomSource(i + 1), { getService: service } as never] as const),
      ...([() => HOSTS, shares, new UpstreamAdmission(new SlowStart(() => 1_000))] as const),
      { isAdmissionOn: () => load.isAdmissionOn },
    );
    return { shares, queues };
  });
  const results: {
    host: number;
    tookMs: Millis;
    type: 'answer' | 'refused';
  }[] = [];
  const send = async (host: number, id: number): Promise<void> => {
    const queues = hosts[host]?.queues;
    assert.ok(queues !== undefined);
    const at = clock.now();
    const call: ServiceQueueCall = {
      request: `r${id}`,
      team: `t${id % 8}`,
      class: 'lookup',
      avoid: [],
      maxWaitMs: TARGET_MS * 2,
      lateAt: at + TARGET_MS * 0.7,
    };
    const chosen = await queues.acquireServer('orders', call, new AbortController().signal);
    if (chosen.isErr()) {
      const tookMs = clock.now() - at;
      results.push({ host, tookMs, type: 'refused' });
      return;
    }
    const slots = busyUntil.get(chosen.value) ?? [];
    const slot = slots.indexOf(Math.min(...slots));
    const startAt = Math.max(clock.now(), slots[slot] ?? 0);
    const endAt = startAt + CALL_MS * (0.8 + random.next() * 0.4);
    slots[slot] = endAt;
    clock.after(endAt - clock.now(), () => {
      queues.releaseServer('orders', call, chosen.value, false);
      results.push({ host, tookMs: clock.now() - at, type: 'answer' });
    });
  };
  const report = (): void => {
    const counts = hosts.map(({ shares }) => shares.countLocal().get('orders') ?? 0);
    const total = counts.reduce((sum, one) => sum + one, 0);
    clock.after(REPORT_DELAY_MS, () =>
      hosts.forEach(({ shares }, i) => {
        const others = total - (counts[i] ?? 0);
        shares.receiveSum(new Map([['orders', others]]), HOSTS - 1, clock.now());
      }),
    );
  };
  let [due, sent] = [0, 0];
  await Array.from({ length: load.forMs / STEP_MS }, (_, i) => i * STEP_MS).reduce(
    async (before, now) => {
      await before;
      if (now % REPORT_PERIOD_MS === 0) report();
      if (load.lostAt !== undefined && now >= load.lostAt) servers = SERVERS.slice(0, -1);
      due += (load.perSecond(now) * STEP_MS) / 1_000;
      while (due >= 1) {
        due -= 1;
        sent += 1;
        void send(load.hostOf?.(random) ?? random.int(0, HOSTS - 1), sent);
      }
      await clock.advance(STEP_MS);
    },
    Promise.resolve(),
  );
  await clock.advance(2_000);
  const answers = results.filter(({ type }) => type === 'answer');
  const refusals = results.filter(({ type }) => type === 'refused');
  const onTime = answers.filter(({ tookMs }) => tookMs <= TARGET_MS).length;
  return {
    sent,
    onTime,
    late: answers.length - onTime,
    refused: refusals.length,
    refusedAfterMs:
      refusals.reduce((sum, { tookMs }) => sum + tookMs, 0) / Math.max(1, refusals.length),
    served: hosts.map((_, i) => answers.filter(({ host }) => host === i).length),
  };
}

const burst = (at: Millis): number => (at >= 1_000 && at < 3_000 ? CAPACITY * 4 : CAPACITY * 0.3);

// Guards against slots that run late calls, and refusals that come only after a long wait.
test('in a burst of four times the capacity calls are on time or refused early', async () => {
  const load = { perSecond: burst, forMs: 4_000 };
  const off = await simulate({ ...load, isAdmissionOn: false });
  const on = await simulate({ ...load, isAdmissionOn: true });
  const outcomes = JSON.stringify({ off, on });
  assert.ok(on.onTime >= CAPACITY * 2 * 0.9, outcomes);
  assert.ok(on.late <= off.late * 0.2, outcomes);
  assert.ok(on.refusedAfterMs <= 60, outcomes);
});

// Guards against calls that stay queued for slots that were lost.
test('after the loss of a server no call is late, and the remaining slots are used', async () => {
  const perSecond = (): number => CAPACITY * 0.9;
  const load = { isAdmissionOn: true, perSecond, forMs: 4_000, lostAt: 1_000 };
  const outcome = await simulate(load);
  assert.ok(outcome.late <= outcome.sent * 0.01, JSON.stringify(outcome));
  const capacity = CAPACITY * (0.9 + 3 * (2 / 3));
  assert.ok(outcome.onTime >= capacity * 0.85, JSON.stringify(outcome));
});

// Guards against refusals by a small share although slots are free, also where a few hosts get most calls.
test('below the capacity hardly any call is refused or late', async () => {
  const skewed = (random: RandomSource): number => random.int(0, random.next() < 0.7 ? 2 : 11);
  const load = { isAdmissionOn: true, perSecond: () => CAPACITY * 0.6, forMs: 4_000 };
  const outcomes = [await simulate(load), await simulate({ ...load, hostOf: skewed })];
  outcomes.forEach(({ sent, onTime }) =>
    assert.ok(onTime >= sent * 0.99, JSON.stringify(outcomes)),
  );
});

// Guards against a host that is left without a slot, since its share is always rounded down.
test('under overload a host with few calls is served too', async () => {
  const hostOf = (random: RandomSource): number => (random.next() < 0.01 ? 11 : random.int(0, 10));
  const load = { isAdmissionOn: true, perSecond: () => CAPACITY * 2, forMs: 5_000, hostOf };
  const { served, sent } = await simulate(load);
  assert.ok((served[11] ?? 0) >= sent * 0.01 * 0.2, JSON.stringify(served));
});
