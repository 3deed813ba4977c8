import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineConfig, Millis, UpstreamId } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import {
  EngineKnowledge,
  LocalPlacement,
  LocalQueue,
  streamCapacity,
} from '@camphorvane/decisions';

const HOSTS = 4;
const STEP_MS: Millis = 10;
const GOSSIP_PERIOD_MS: Millis = 60;
const TARGET_MS: Millis = 900;
const ON_TIME_MS: Millis = 540;
const MAX_WAIT_MS: Millis = 2_520;
const PROMPT_TOKENS = 5_000;
const MEMORY_TOKENS = 6_000;
const PREFILL_MS: Millis = 60;
const HOLD_MS: Millis = 3_000;
const SLOTS = 12;
const DECODERS = 5;
/** Streams per second that all engines run. */
const CAPACITY = (DECODERS * SLOTS * 1_000) / HOLD_MS;

const engine = (id: UpstreamId, role: EngineConfig['role']): EngineConfig => ({
  ...{ id, role, url: `http://${id}`, zone: 'a', memoryPieces: 94, slots: SLOTS },
  checksFencing: false,
});
const PREFILLERS = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map((id) => engine(id, 'prefill'));
const ENGINES = [
  ...PREFILLERS,
  ...Array.from({ length: DECODERS }, (_, i) => engine(`d${i}`, 'decode')),
];

interface Load {
  readonly isAdmissionOn: boolean;
  readonly perSecond: (at: Millis) => number;
  readonly forMs: Millis;
  /** Age of each request, as its caller returns; 0 where absent. */
  readonly ageOf?: (random: RandomSource) => Millis;
  /** Time at which two decode engines stop to take requests. */
  readonly lostAt?: Millis;
}

interface Outcome {
  readonly sent: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Mean time after which callers are refused. */
  readonly refusedAfterMs: Millis;
  /** Refusals that were found to be wrong. */
  readonly wrong: number;
}

interface Running {
  readonly host: number;
  readonly decode: UpstreamId;
  readonly prefill: UpstreamId;
  readonly startedAt: Millis;
  readonly endAt: Millis;
}

/** Simulates hosts whose requests wait for the same engines. */
function simulate(load: Load, seed = 3): Outcome {
  const random = new RandomSource(seed);
  let wrong = 0;
  const hosts = Array.from({ length: HOSTS }, () => {
    const knowledge = new EngineKnowledge();
    const { inFlight, peerBacklog } = knowledge;
    const placement = new LocalPlacement(knowledge);
    placement.setEngines(ENGINES);
    const queue = new LocalQueue(placement, (now) => peerBacklog.sum('m', now), {
      isAdmissionOn: () => load.isAdmissionOn,
      streamCapacity: (now) => streamCapacity(ENGINES, inFlight, now),
      report: (event) => {
        if (event.type === 'refused_while_idle') wrong += event.count;
      },
    });
    return { inFlight, peerBacklog, queue, placement };
  });
  const sentAt = new Map<string, { at: Millis; ageMs: Millis }>();
  const waits: {
    readonly type: 'start' | 'refuse';
    readonly ms: Millis;
    readonly ageMs: Millis;
  }[] = [];
  let running: readonly Running[] = [];
  const prefilled = new Set<Running>();
  let due = 0;
  Array.from({ length: (load.forMs + 4_000) / STEP_MS }, (_, i) => i * STEP_MS).forEach((now) => {
    if (now === load.lostAt) {
      hosts.forEach(({ placement }) => placement.setEngines(ENGINES.slice(0, -2)));
    }
    running
      .filter((one) => !prefilled.has(one) && one.startedAt + PREFILL_MS <= now)
      .forEach((one) => {
        prefilled.add(one);
        hosts[one.host]?.inFlight.adjust(one.prefill, { prefillTokens: -PROMPT_TOKENS });
      });
    running
      .filter(({ endAt }) => endAt <= now)
      .forEach(({ host, decode, startedAt }) => {
        const change = { streams: -1, memoryTokens: -MEMORY_TOKENS };
        hosts[host]?.inFlight.adjust(decode, change);
        hosts[host]?.queue.requestEnded('t', now - startedAt);
      });
    running = running.filter(({ endAt }) => endAt > now);
    if (now % GOSSIP_PERIOD_MS === 0) {
      hosts.forEach((to) =>
        hosts.forEach((from, j) => {
          if (to === from) return;
          to.inFlight.receive(`h${j}`, new Map(from.inFlight.getOwn()), now);
          to.peerBacklog.receive(`h${j}`, new Map([['m', from.queue.countOnTime(now)]]), now);
        }),
      );
    }
    due += now < load.forMs ? (load.perSecond(now) * STEP_MS) / 1_000 : 0;
    while (due >= 1) {
      due -= 1;
      const request = `r${sentAt.size}`;
      const ageMs = load.ageOf?.(random) ?? 0;
      sentAt.set(request, { at: now, ageMs });
      const refusal = hosts[random.int(0, HOSTS - 1)]?.queue.submit({
        ...{ request, team: `t${random.int(0, 5)}`, priority: 1, memorySteps: 1, avoid: [] },
        ...{ submittedAt: now, lateAt: now + ON_TIME_MS - ageMs, giveUpAt: now + MAX_WAIT_MS },
        ...{ promptTokens: PROMPT_TOKENS, memoryTokens: MEMORY_TOKENS },
      });
      if (refusal !== undefined) waits.push({ type: 'refuse', ms: 0, ageMs });
    }
    hosts.forEach(({ inFlight, queue }, host) => {
      let decision = queue.next(now);
      while (decision !== undefined) {
        const { at, ageMs } = sentAt.get(decision.request) ?? { at: now, ageMs: 0 };
        if (decision.type === 'refuse') {
          waits.push({ type: 'refuse', ms: now - at, ageMs });
        } else {
          const { decode, prefill = decode } = decision.pair;
          inFlight.adjust(prefill, { prefillTokens: PROMPT_TOKENS });
          inFlight.adjust(decode, { streams: 1, memoryTokens: MEMORY_TOKENS });
          const endAt = now + HOLD_MS * (0.3 + 1.4 * random.next());
          running = [...running, { host, decode, prefill, startedAt: now, endAt }];
          waits.push({ type: 'start', ms: now - at, ageMs });
        }
        decision = queue.next(now);
      }
    });
  });
  const starts = waits.filter(({ type }) => type === 'start');
  const refusals = waits.filter(({ type }) => type === 'refuse');
  const onTime = starts.filter(({ ms, ageMs }) => ms + ageMs <= TARGET_MS - 200).length;
  return {
    sent: sentAt.size,
    onTime,
    late: starts.length - onTime,
    refused: refusals.length,
    refusedAfterMs: refusals.reduce((sum, { ms }) => sum + ms, 0) / Math.max(1, refusals.length),
    wrong,
  };
}

const burst = (at: Millis): number => (at >= 4_000 && at < 10_000 ? CAPACITY * 4 : CAPACITY / 2);

// Guards against streams that are held for 2,520 ms before they are refused, and engines that run late streams.
test('in a burst of four times the capacity streams are on time or refused early', () => {
  const off = simulate({ isAdmissionOn: false, perSecond: burst, forMs: 14_000 });
  const on = simulate({ isAdmissionOn: true, perSecond: burst, forMs: 14_000 });
  const outcomes = JSON.stringify({ off, on });
  assert.ok(on.onTime >= off.onTime * 0.92, outcomes);
  assert.ok(on.late <= 2, outcomes);
  assert.ok(on.refusedAfterMs <= 150, outcomes);
  assert.ok(on.wrong <= on.refused * 0.15, outcomes);
});

test('below the capacity no stream is refused', () => {
  const load = { isAdmissionOn: true, perSecond: () => CAPACITY * 0.9, forMs: 12_000 };
  const outcome = simulate(load);
  assert.equal(outcome.onTime, outcome.sent, JSON.stringify(outcome));
});

// Guards against streams that wait for engines which were lost until their callers give up.
test('after the loss of two of five engines streams that can not start in time are refused early', () => {
  const perSecond = (): number => CAPACITY * 0.9;
  const outcome = simulate({ isAdmissionOn: true, perSecond, forMs: 14_000, lostAt: 5_000 });
  assert.ok(outcome.refused > 0 && outcome.refusedAfterMs <= 500, JSON.stringify(outcome));
  assert.ok(outcome.late <= outcome.sent * 0.03, JSON.stringify(outcome));
});

// Guards against late streams that take capacity from those on time, and against never serving any of them.
test('under overload late streams get only capacity that is left', () => {
  const ageOf = (random: RandomSource): Millis => (random.next() < 0.3 ? 1_500 : 0);
  const perSecond = (): number => CAPACITY * 1.5;
  const off = simulate({ isAdmissionOn: false, perSecond, forMs: 14_000, ageOf });
  const on = simulate({ isAdmissionOn: true, perSecond, forMs: 14_000, ageOf });
  assert.ok(on.late > 0 && on.late <= off.late, JSON.stringify({ off, on }));
  assert.ok(on.onTime >= off.onTime * 0.9, JSON.stringify({ off, on }));
});
