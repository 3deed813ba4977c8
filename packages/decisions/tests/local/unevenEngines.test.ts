import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineConfig } from '@camphorvane/core';
import { RandomSource, TOKENS_PER_PIECE } from '@camphorvane/core';
import { EngineKnowledge, LocalPlacement, UpstreamSpeeds } from '@camphorvane/decisions';

const TOKEN_MS = 0.55;
const OUTPUT_TOKENS = 70 * 77;
const MEMORY_TOKENS = 5_000 + 0.75 * OUTPUT_TOKENS;
const ENGINE_TOKENS = 75_000;
const REQUEST = {
  promptTokens: 5_000,
  memoryTokens: MEMORY_TOKENS,
  memorySteps: MEMORY_TOKENS * OUTPUT_TOKENS,
  avoid: [],
};
const SPEEDS: Readonly<Record<string, number>> = { d1: 0.7, d2: 0.7, d3: 1.7 };

function engine(id: string, role: 'prefill' | 'decode'): EngineConfig {
  const memoryPieces = ENGINE_TOKENS / TOKENS_PER_PIECE;
  return {
    id,
    url: `http://${id}`,
    zone: 'a',
    role,
    memoryPieces,
    slots: 12,
    checksFencing: false,
  };
}

const POOL = [engine('p1', 'prefill'), ...Object.keys(SPEEDS).map((id) => engine(id, 'decode'))];

function tokenMsOf(id: string): number {
  return TOKEN_MS / (SPEEDS[id] ?? 1);
}

function setUp(isSwitchedOn = true): {
  readonly placement: LocalPlacement;
  readonly knowledge: EngineKnowledge;
} {
  const knowledge = new EngineKnowledge(undefined, new UpstreamSpeeds(() => isSwitchedOn));
  const placement = new LocalPlacement(knowledge);
  placement.setEngines(POOL);
  return { placement, knowledge };
}

interface PlayResult {
  readonly meanMs: number;
  readonly placed: number;
  readonly highestFill: number;
}

/** Places requests for a minute; those that find no room are lost. */
function play(isSwitchedOn: boolean, perSecond: number): PlayResult {
  const { placement, knowledge } = setUp(isSwitchedOn);
  const random = new RandomSource(5);
  const running: { readonly decode: string; readonly endsAt: number }[] = [];
  const durations: number[] = [];
  let highestFill = 0;
  Array.from({ length: 6_000 }, (_, step) => step * 10).forEach((now) => {
    running
      .filter(({ endsAt }) => endsAt <= now)
      .forEach((one) => {
        running.splice(running.indexOf(one), 1);
        knowledge.inFlight.adjust(one.decode, { streams: -1, memoryTokens: -MEMORY_TOKENS });
      });
    if (now % 500 === 0) {
      new Set(running.map(({ decode }) => decode)).forEach((id) =>
        knowledge.speeds.recordTokenInterval(id, tokenMsOf(id), now),
      );
    }
    if (random.next() >= perSecond / 100) return;
    const decode = placement.choose(REQUEST, now)?.decode;
    if (decode === undefined) return;
    const tookMs = tokenMsOf(decode) * OUTPUT_TOKENS;
    durations.push(tookMs);
    running.push({ decode, endsAt: now + tookMs });
    knowledge.inFlight.adjust(decode, { streams: 1, memoryTokens: MEMORY_TOKENS });
    const { memoryTokens } = knowledge.inFlight.getTotal(decode, now);
    highestFill = Math.max(highestFill, memoryTokens / ENGINE_TOKENS);
  });
  const meanMs = durations.reduce((sum, ms) => sum + ms, 0) / durations.length;
  return { meanMs, placed: durations.length, highestFill };
}

// Load: three requests a second for engines at 0.7, 0.7 and 1.7 of the usual speed. Guards against streams
// that take 4.2 s on a slow engine while the fast one, with 1.7 s, has room.
test('streams complete sooner where engines have unequal speeds', () => {
  const off = play(false, 3);
  const on = play(true, 3);
  assert.ok(on.meanMs < 0.8 * off.meanMs, `${on.meanMs} ms, without: ${off.meanMs} ms`);
  assert.ok(on.highestFill <= 0.95, `${on.highestFill}`);
});

// Load: eight requests a second, more than fit. Guards against engines that stay empty for their speed.
test('slow engines are used where the fast one is full', () => {
  const off = play(false, 8);
  const on = play(true, 8);
  assert.ok(on.placed >= 0.98 * off.placed, `${on.placed}, without: ${off.placed}`);
});

// Guards against an engine that is measured slow once, gets no streams, and so is never measured again.
test('an engine without an observation for ten seconds counts as the mean of the pool', () => {
  const { placement, knowledge } = setUp();
  Object.keys(SPEEDS).forEach((id) => knowledge.speeds.recordTokenInterval(id, tokenMsOf(id), 0));
  assert.equal(placement.choose(REQUEST, 100)?.decode, 'd3');
  const ids = Object.keys(SPEEDS);
  assert.equal(
    Math.max(...knowledge.speeds.engineDelays(ids, OUTPUT_TOKENS, 9_000).values()) < 300,
    true,
  );
  assert.equal(knowledge.speeds.engineDelays(ids, OUTPUT_TOKENS, 10_000).size, 0);
});

// Guards against a returned engine that is judged by the process before it, or by late reports on that.
test('an engine that has returned counts as the mean of the pool', () => {
  const { knowledge } = setUp();
  const { speeds } = knowledge;
  const ids = Object.keys(SPEEDS);
  ids.forEach((id) => speeds.recordTokenInterval(id, tokenMsOf(id), 0));
  speeds.forgetEngine('d3', 1_000);
  speeds.receive([{ upstream: 'd3', ms: 9, ageMs: 500 }], 1_200);
  const delays = speeds.engineDelays(ids, OUTPUT_TOKENS, 1_200);
  assert.equal(delays.get('d3'), delays.get('d1'));
  speeds.receive([{ upstream: 'd3', ms: tokenMsOf('d3'), ageMs: 0 }], 1_300);
  assert.equal(speeds.engineDelays(ids, OUTPUT_TOKENS, 1_300).get('d3'), 0);
});

// Guards against an engine that has asked for fewer requests, but gets more of them for its speed.
test('a fast engine that has asked for fewer requests is used after the others', () => {
  const { placement, knowledge } = setUp();
  Object.keys(SPEEDS).forEach((id) => knowledge.speeds.recordTokenInterval(id, tokenMsOf(id), 0));
  knowledge.admission.isReluctant = (id) => id === 'd3';
  assert.notEqual(placement.choose(REQUEST, 100)?.decode, 'd3');
});
