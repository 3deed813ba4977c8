import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { RoleRebalancer } from '@camphorvane/decisions';
import type { PoolDemand, RoleDecision, RoleView, EngineRoleState } from '@camphorvane/decisions';
import type { RequestShape } from '../support/demand.ts';
import { makeDemandBuckets } from '../support/demand.ts';

/** Long answers to prompts of medium length: decode memory is the bottleneck. */
const LONG_ANSWERS: RequestShape = { promptTokens: 3_200, outputTokens: 840 };

/** Long prompts with short answers: prefill is the bottleneck. */
const LONG_PROMPTS: RequestShape = { promptTokens: 9_000, outputTokens: 60 };

const ROUND_MS = 500;

const engines = (prefills: number, decodes: number): readonly EngineRoleState[] =>
  [
    ...Array.from({ length: prefills }, (_, n) => ['prefill', `p${n}`, n] as const),
    ...Array.from({ length: decodes }, (_, n) => ['decode', `d${n}`, n] as const),
  ].map(([role, id, n]) => ({
    ...{ id, role, zone: `z${n % 3}`, isChanging: false, isFailing: false, load: n },
  }));

const viewOf = (
  buckets: readonly PoolDemand[],
  present: readonly EngineRoleState[],
  overrides: Partial<RoleView> = {},
): RoleView => ({
  ...{
    buckets,
    engines: present,
    prefillTokensPerMs: 30,
    memoryTokens: 40_000,
    tokenIntervalMs: 4.2,
  },
  ...{ onTimeMs: 540, roleSwitchMs: 6_000, holdBackMs: 0 },
  ...overrides,
});

/** Asks for a decision twice a second; gets the first move, or else the last decision. */
function decideUntilMove(
  shifter: RoleRebalancer,
  view: (at: Millis) => RoleView,
  forMs: Millis,
  from = 0,
): { readonly decision: RoleDecision; readonly at: Millis } {
  const times = Array.from({ length: forMs / ROUND_MS }, (_, i) => from + (i + 1) * ROUND_MS);
  const decisions = times.map((at) => ({ at, decision: shifter.decide(view(at), at) }));
  const result = decisions.find(({ decision }) => decision.type === 'move') ?? decisions.at(-1);
  assert.ok(result !== undefined);
  return result;
}

const upTo = (all: readonly PoolDemand[], at: Millis): readonly PoolDemand[] =>
  all.slice(0, at / 200);

// With an even split and long answers, decode memory is full while prefill engines idle, and every
// second request is late. Demand changes within seconds, so the move must come within seconds too.
test('moves an engine to decode within five seconds of traffic that fills decode memory', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, () => 9, 20_000);
  const view = (at: Millis): RoleView => viewOf(upTo(spans, at), engines(3, 3));
  const { decision, at } = decideUntilMove(new RoleRebalancer(), view, 10_000);
  assert.equal(decision.type === 'move' && decision.role, 'decode');
  assert.ok(at <= 5_000, `after ${at} ms`);
});

test('moves an engine to prefill when prompts wait for prefill', () => {
  const spans = makeDemandBuckets(LONG_PROMPTS, () => 9, 20_000);
  const view = (at: Millis): RoleView => viewOf(upTo(spans, at), engines(2, 6));
  const { decision } = decideUntilMove(new RoleRebalancer(), view, 10_000);
  assert.equal(decision.type === 'move' && decision.role, 'prefill');
});

// Demand stays at twice what decode memory holds. Prompts without memory are not prefilled, so the
// prefill engines idle; one more decode engine serves a third more, even if many are still late.
test('moves an engine to decode under lasting overload', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, () => 22, 20_000);
  const view = (at: Millis): RoleView => viewOf(upTo(spans, at), engines(3, 3));
  const { decision, at } = decideUntilMove(new RoleRebalancer(), view, 15_000);
  assert.equal(decision.type === 'move' && decision.role, 'decode');
  assert.ok(at <= 6_000, `after ${at} ms`);
});

// Demand doubles and falls again every few seconds. Engines that moved with each burst would be out
// of service for as long as the bursts last.
test('does not move back and forth with bursts', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, (at) => (at % 8_000 < 4_000 ? 12 : 5), 60_000);
  const shifter = new RoleRebalancer();
  let present = engines(3, 3);
  let moveCount = 0;
  Array.from({ length: 110 }, (_, i) => 2_000 + i * ROUND_MS).forEach((at) => {
    const decision = shifter.decide(viewOf(upTo(spans, at).slice(-150), present), at);
    if (decision.type !== 'move') return;
    moveCount += 1;
    present = present.map((engine) =>
      decision.engines.includes(engine.id) ? { ...engine, role: decision.role } : engine,
    );
  });
  assert.ok(moveCount <= 1, `${moveCount} moves`);
});

// Demand changes from long answers to long prompts for good; engines moved before must move back.
test('moves engines back when the demand changes', () => {
  const shifter = new RoleRebalancer();
  const answers = makeDemandBuckets(LONG_ANSWERS, () => 9, 20_000);
  const first = decideUntilMove(shifter, (at) => viewOf(upTo(answers, at), engines(3, 3)), 10_000);
  assert.equal(first.decision.type === 'move' && first.decision.role, 'decode');
  const prompts = makeDemandBuckets(LONG_PROMPTS, () => 9, 30_000, 2);
  const second = decideUntilMove(shifter, () => viewOf(prompts, engines(2, 4)), 10_000, 60_000);
  assert.equal(second.decision.type === 'move' && second.decision.role, 'prefill');
});

test('never moves the last engine of a role', () => {
  const spans = makeDemandBuckets(LONG_PROMPTS, () => 40, 20_000);
  const { decision } = decideUntilMove(
    new RoleRebalancer(),
    () => viewOf(spans, engines(3, 1)),
    30_000,
  );
  assert.equal(decision.type, 'stay');
});

// A crashed engine is back after three seconds. An engine that replaced it would be missing in its
// own role for six.
test('moves no engine for some seconds after an engine joined or left', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, () => 9, 20_000);
  const shifter = new RoleRebalancer();
  shifter.decide(viewOf(spans, engines(3, 3)), 0);
  const crashed = decideUntilMove(shifter, () => viewOf(spans, engines(3, 2)), 5_500);
  assert.equal(crashed.decision.type === 'stay' && crashed.decision.reason, 'engines_changed');
});

test('moves no engine on too few requests', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, () => 1, 5_000);
  const { decision } = decideUntilMove(
    new RoleRebalancer(),
    () => viewOf(spans, engines(3, 3)),
    10_000,
  );
  assert.equal(decision.type === 'stay' && decision.reason, 'little_demand');
});

test('moves no engine while another one is changing its role', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, () => 20, 20_000);
  const [first, ...others] = engines(3, 3);
  assert.ok(first !== undefined);
  const present = [{ ...first, role: 'decode' as const, isChanging: true }, ...others];
  const { decision } = decideUntilMove(new RoleRebalancer(), () => viewOf(spans, present), 10_000);
  assert.equal(decision.type === 'stay' && decision.reason, 'moving');
});

// A failing engine may not accept the order, or late. Another engine of its role is moved instead.
test('does not move a failing engine', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, () => 9, 20_000);
  const present = engines(3, 3).map((engine) => ({ ...engine, isFailing: engine.id === 'p0' }));
  const { decision } = decideUntilMove(new RoleRebalancer(), () => viewOf(spans, present), 10_000);
  assert.equal(decision.type === 'move' && decision.engines.includes('p0'), false, decision.type);
  assert.equal(decision.type, 'move');
});

test('a host of a lower rank delays its move', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, () => 9, 20_000);
  const view = (): RoleView => viewOf(spans, engines(3, 3), { holdBackMs: 4_000 });
  assert.ok(decideUntilMove(new RoleRebalancer(), view, 20_000).at > 4_000);
});

// Of a hundred evenly split engines, most of the prefill engines are idle. Moved one at a time they
// would take minutes; moved all at once they would leave no prefill if the forecast is wrong.
test('moves several engines of a large pool at once, but at most a quarter of a role', () => {
  const spans = makeDemandBuckets(LONG_ANSWERS, () => 130, 20_000);
  const { decision } = decideUntilMove(
    new RoleRebalancer(),
    () => viewOf(spans, engines(50, 48)),
    10_000,
  );
  const moved = decision.type === 'move' ? decision.engines : [];
  assert.ok(moved.length >= 4 && moved.length <= 13, `${decision.type} ${moved.join()}`);
});
