import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { RoleShifter } from '@camphorvane/decisions';
import type { PoolDemand, RoleDecision, RoleView, ShiftableEngine } from '@camphorvane/decisions';
import type { RequestShape } from '../support/demand.ts';
import { makeSpans } from '../support/demand.ts';

/** Long answers to middling prompts: memory is what they need. */
const LONG_ANSWERS: RequestShape = { promptTokens: 3_200, outputTokens: 840 };

/** Long prompts with short answers: they need prefill engines. */
const LONG_PROMPTS: RequestShape = { promptTokens: 9_000, outputTokens: 60 };

const ROUND_MS = 500;

const engines = (prefills: number, decodes: number): readonly ShiftableEngine[] =>
  [
    ...Array.from({ length: prefills }, (_, n) => ['prefill', `p${n}`, n] as const),
    ...Array.from({ length: decodes }, (_, n) => ['decode', `d${n}`, n] as const),
  ].map(([role, id, n]) => ({
    ...{ id, role, zone: `z${n % 3}`, isChanging: false, isFailing: false, load: n },
  }));

const viewOf = (
  spans: readonly PoolDemand[],
  present: readonly ShiftableEngine[],
  more: Partial<RoleView> = {},
): RoleView => ({
  ...{ spans, engines: present, readPerMs: 30, memoryTokens: 40_000, tokenMs: 4.2 },
  ...{ onTimeMs: 540, switchMs: 6_000, holdBackMs: 0 },
  ...more,
});

/** Asks twice a second from the start of the traffic on; gets the first move, or the last answer. */
function playUntil(
  shifter: RoleShifter,
  view: (at: Millis) => RoleView,
  forMs: Millis,
  from = 0,
): { readonly decision: RoleDecision; readonly at: Millis } {
  const rounds = Array.from({ length: forMs / ROUND_MS }, (_, i) => from + (i + 1) * ROUND_MS);
  const answers = rounds.map((at) => ({ at, decision: shifter.decide(view(at), at) }));
  const moved = answers.find(({ decision }) => decision.type === 'move') ?? answers.at(-1);
  assert.ok(moved !== undefined);
  return moved;
}

const upTo = (all: readonly PoolDemand[], at: Millis): readonly PoolDemand[] =>
  all.slice(0, at / 200);

// Engines are split evenly, but answers are long: decode memory is full while prefill engines idle, and
// every second request is late. The day turns within seconds, so the move must come within seconds too.
test('moves an engine to decode within five seconds of traffic that fills its memory', () => {
  const spans = makeSpans(LONG_ANSWERS, () => 9, 20_000);
  const view = (at: Millis): RoleView => viewOf(upTo(spans, at), engines(3, 3));
  const { decision, at } = playUntil(new RoleShifter(), view, 10_000);
  assert.equal(decision.type === 'move' && decision.role, 'decode');
  assert.ok(at <= 5_000, `after ${at} ms`);
});

test('moves an engine to prefill where prompts are what waits', () => {
  const spans = makeSpans(LONG_PROMPTS, () => 9, 20_000);
  const view = (at: Millis): RoleView => viewOf(upTo(spans, at), engines(2, 6));
  const { decision } = playUntil(new RoleShifter(), view, 10_000);
  assert.equal(decision.type === 'move' && decision.role, 'prefill');
});

// Twice as much is asked as the memory holds, for long. Prompts that get no memory are not read, so the
// prefill engines idle; an engine more for decode serves a third more, also if many are late still.
test('moves an engine to decode while far more is asked than can be served', () => {
  const spans = makeSpans(LONG_ANSWERS, () => 22, 20_000);
  const view = (at: Millis): RoleView => viewOf(upTo(spans, at), engines(3, 3));
  const { decision, at } = playUntil(new RoleShifter(), view, 15_000);
  assert.equal(decision.type === 'move' && decision.role, 'decode');
  assert.ok(at <= 6_000, `after ${at} ms`);
});

// Traffic doubles every few seconds and falls again. Moved with each burst, engines would be missing for
// as long as the bursts last.
test('does not swing with bursts', () => {
  const spans = makeSpans(LONG_ANSWERS, (at) => (at % 8_000 < 4_000 ? 12 : 5), 60_000);
  const shifter = new RoleShifter();
  let present = engines(3, 3);
  let moves = 0;
  Array.from({ length: 110 }, (_, i) => 2_000 + i * ROUND_MS).forEach((at) => {
    const decision = shifter.decide(viewOf(upTo(spans, at).slice(-150), present), at);
    if (decision.type !== 'move') return;
    moves += 1;
    present = present.map((engine) =>
      decision.engines.includes(engine.id) ? { ...engine, role: decision.role } : engine,
    );
  });
  assert.ok(moves <= 1, `${moves} moves`);
});

// Work turns from long answers to long prompts, and stays so. Engines that were moved must come back.
test('goes back when the work turns', () => {
  const shifter = new RoleShifter();
  const answers = makeSpans(LONG_ANSWERS, () => 9, 20_000);
  const first = playUntil(shifter, (at) => viewOf(upTo(answers, at), engines(3, 3)), 10_000);
  assert.equal(first.decision.type === 'move' && first.decision.role, 'decode');
  const prompts = makeSpans(LONG_PROMPTS, () => 9, 30_000, 2);
  const later = playUntil(shifter, () => viewOf(prompts, engines(2, 4)), 10_000, 60_000);
  assert.equal(later.decision.type === 'move' && later.decision.role, 'prefill');
});

test('never takes the last engine of a role', () => {
  const spans = makeSpans(LONG_PROMPTS, () => 40, 20_000);
  const { decision } = playUntil(new RoleShifter(), () => viewOf(spans, engines(3, 1)), 30_000);
  assert.equal(decision.type, 'stay');
});

// An engine crashes and is back after three seconds. Another one that took its place would be missing
// in its own role for six.
test('leaves the roles alone for a while after an engine came or went', () => {
  const spans = makeSpans(LONG_ANSWERS, () => 9, 20_000);
  const shifter = new RoleShifter();
  shifter.decide(viewOf(spans, engines(3, 3)), 0);
  const crashed = playUntil(shifter, () => viewOf(spans, engines(3, 2)), 5_500);
  assert.equal(crashed.decision.type === 'stay' && crashed.decision.reason, 'engines_changed');
});

test('decides nothing on a handful of requests', () => {
  const spans = makeSpans(LONG_ANSWERS, () => 1, 5_000);
  const { decision } = playUntil(new RoleShifter(), () => viewOf(spans, engines(3, 3)), 10_000);
  assert.equal(decision.type === 'stay' && decision.reason, 'little_demand');
});

test('waits until a change is complete before the next one', () => {
  const spans = makeSpans(LONG_ANSWERS, () => 20, 20_000);
  const [first, ...others] = engines(3, 3);
  assert.ok(first !== undefined);
  const present = [{ ...first, role: 'decode' as const, isChanging: true }, ...others];
  const { decision } = playUntil(new RoleShifter(), () => viewOf(spans, present), 10_000);
  assert.equal(decision.type === 'stay' && decision.reason, 'moving');
});

// An engine that fails may not take an order, or take it late. Another one of its role is moved.
test('does not move an engine that fails', () => {
  const spans = makeSpans(LONG_ANSWERS, () => 9, 20_000);
  const present = engines(3, 3).map((one) => ({ ...one, isFailing: one.id === 'p0' }));
  const { decision } = playUntil(new RoleShifter(), () => viewOf(spans, present), 10_000);
  assert.equal(decision.type === 'move' && decision.engines.includes('p0'), false, decision.type);
  assert.equal(decision.type, 'move');
});

test('a host that is to act after others holds back', () => {
  const spans = makeSpans(LONG_ANSWERS, () => 9, 20_000);
  const view = (): RoleView => viewOf(spans, engines(3, 3), { holdBackMs: 4_000 });
  assert.ok(playUntil(new RoleShifter(), view, 20_000).at > 4_000);
});

// A hundred engines are split evenly, and most of the prefill engines are idle. One at a
// time they would take minutes; all at once would leave the prompts unread if the forecast is wrong.
test('moves several of many engines at a time, but no more than a quarter of a role', () => {
  const spans = makeSpans(LONG_ANSWERS, () => 130, 20_000);
  const { decision } = playUntil(new RoleShifter(), () => viewOf(spans, engines(50, 48)), 10_000);
  const moved = decision.type === 'move' ? decision.engines : [];
  assert.ok(moved.length >= 4 && moved.length <= 13, `${decision.type} ${moved.join()}`);
});
