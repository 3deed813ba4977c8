import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineConfig } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { EngineKnowledge, LocalPlacement } from '@camphorvane/decisions';

const REQUEST = { promptTokens: 5_000, memoryTokens: 8_000, avoid: [] };

function engine(id: string, role: 'prefill' | 'decode', zone = 'a'): EngineConfig {
  return { id, url: `http://${id}`, zone, role, memoryPieces: 80, slots: 64, checksFencing: false };
}

function setUp(engines: readonly EngineConfig[]): {
  readonly placement: LocalPlacement;
  readonly inFlight: EngineKnowledge['inFlight'];
  readonly health: EngineKnowledge['health'];
} {
  const knowledge = new EngineKnowledge();
  const { inFlight, health } = knowledge;
  const placement = new LocalPlacement(knowledge);
  placement.setEngines(engines);
  return { placement, inFlight, health };
}

const POOL = [
  engine('p1', 'prefill'),
  engine('p2', 'prefill', 'b'),
  engine('d1', 'decode'),
  engine('d2', 'decode', 'b'),
];

test('chooses the prefill engine with the shortest backlog, peers included', () => {
  const { placement, inFlight } = setUp(POOL);
  inFlight.adjust('p1', { prefillTokens: 5_000 });
  inFlight.receive(
    'peer',
    new Map([['p2', { prefillTokens: 20_000, streams: 0, memoryTokens: 0 }]]),
    0,
  );
  assert.equal(placement.choose(REQUEST, 0)?.prefill, 'p1');
});

// Guards against an engine that stays full for good because a peer crashed with requests on it.
test('the report of a silent peer expires', () => {
  const { placement, inFlight } = setUp([engine('d1', 'decode')]);
  inFlight.receive(
    'peer',
    new Map([['d1', { prefillTokens: 0, streams: 9, memoryTokens: 80_000 }]]),
    0,
  );
  assert.equal(placement.choose(REQUEST, 1_000), undefined);
  assert.equal(placement.choose(REQUEST, 2_000)?.decode, 'd1');
});

test('both engines are in one zone where that costs no time', () => {
  const { placement } = setUp(POOL);
  const pair = placement.choose(REQUEST, 0);
  assert.ok(['p1 d1', 'p2 d2'].includes(`${pair?.prefill} ${pair?.decode}`));
});

// Guards against refusals while all prefill engines are gone: decode engines can prefill, slowly.
test('a decode engine does the prefill when no prefill engine is left', () => {
  const { placement } = setUp([engine('d1', 'decode')]);
  const pair = placement.choose(REQUEST, 0);
  assert.equal(pair?.prefill, undefined);
  assert.equal(pair?.decode, 'd1');
});

test('a decode engine prefills one prompt at a time', () => {
  const { placement, inFlight } = setUp([engine('d1', 'decode')]);
  inFlight.adjust('d1', { prefillTokens: 100 });
  assert.equal(placement.choose(REQUEST, 0), undefined);
});

// Guards against requests that all try a crashed engine first, since it is still listed and looks empty.
test('an engine in back-off is passed over unless it is the only one', () => {
  const { placement, health } = setUp(POOL);
  health.recordFailure('d1', 0);
  assert.equal(placement.choose(REQUEST, 100)?.decode, 'd2');
  assert.equal(placement.choose({ ...REQUEST, avoid: ['d2'] }, 100)?.decode, 'd1');
  health.recordSuccess('d1');
  assert.notEqual(placement.choose({ ...REQUEST, avoid: ['d2'] }, 100), undefined);
});

// Guards against requests that are lost on an engine that does not answer. They wait until it answers a
// probe or another engine is there, also where it is the only one.
test('a suspected engine gets no requests', () => {
  const { placement, health } = setUp(POOL);
  health.suspect('d1');
  assert.equal(placement.choose(REQUEST, 0)?.decode, 'd2');
  assert.equal(placement.choose({ ...REQUEST, avoid: ['d2'] }, 0), undefined);
  health.trust('d1');
  assert.equal(placement.choose({ ...REQUEST, avoid: ['d2'] }, 0)?.decode, 'd1');
});

test('a decode engine is not filled beyond its memory', () => {
  const { placement, inFlight } = setUp([engine('d1', 'decode')]);
  inFlight.adjust('d1', { memoryTokens: 72_000 });
  assert.equal(placement.choose(REQUEST, 0), undefined);
});

// Guards against a herd: 90 hosts choose at the same moment, on reports a second old. If all took the engine
// that looked emptiest, it would be filled several times over and refuse requests that are prefilled already.
test('hosts of a large fleet do not all choose the same engine', () => {
  const engines = Array.from({ length: 20 }, (_, i) => engine(`d${i}`, 'decode'));
  const chosen = Array.from({ length: 90 }, (_, seed) => {
    const knowledge = new EngineKnowledge();
    const { inFlight } = knowledge;
    Array.from({ length: 89 }, (__, i) => inFlight.receive(`h${i}`, new Map(), 0));
    inFlight.adjust('d0', { memoryTokens: 100 });
    const placement = new LocalPlacement(knowledge, new RandomSource(seed));
    placement.setEngines(engines);
    return placement.choose(REQUEST, 0)?.decode;
  });
  const most = Math.max(...engines.map(({ id }) => chosen.filter((one) => one === id).length));
  assert.ok(most <= 25, `${most} of 90 chose one engine`);
});

/** A pool whose prefill engine has such a backlog that the decode engine would prefill a prompt sooner. */
function setUpBusyPrefill(tokenMs: number, streams: number) {
  const pool = [engine('p1', 'prefill'), { ...engine('d1', 'decode'), eventTokens: 12 }];
  const all = setUp(pool);
  all.health.recordPrefill('p1', 3_300, 100);
  all.health.recordTokenInterval('d1', tokenMs);
  all.inFlight.adjust('p1', { prefillTokens: 30_000 });
  all.inFlight.adjust('d1', { streams, memoryTokens: 100 });
  return all;
}

// Guards against ten streams that stall so that one request starts sooner: the prefill of 5,000 tokens
// takes 300 ms, and all callers of the engine would see their streams pause for that long.
test('no prefill beside streams that would pause too long', () => {
  const { placement } = setUpBusyPrefill(4, 10);
  const allowed = { ...REQUEST, promptTokens: 5_000 };
  assert.equal(placement.choose({ ...allowed, longestPauseMs: 300 }, 0)?.prefill, 'p1');
  assert.equal(placement.choose({ ...allowed, longestPauseMs: 500 }, 0)?.prefill, undefined);
  assert.equal(placement.choose(allowed, 0)?.prefill, undefined);
});

test('a prompt that is short, or beside no streams, is prefilled on the decode engine', () => {
  const busy = setUpBusyPrefill(4, 10).placement;
  const short = { ...REQUEST, promptTokens: 2_000, longestPauseMs: 300 };
  assert.equal(busy.choose(short, 0)?.prefill, undefined);
  const empty = setUpBusyPrefill(4, 0).placement;
  const long = { ...REQUEST, promptTokens: 9_000, longestPauseMs: 300 };
  assert.equal(empty.choose(long, 0)?.prefill, undefined);
});

// Guards against refusals while all prefill engines are gone: a pause in some streams is the lesser harm.
test('without prefill engines a prompt is prefilled beside streams in any case', () => {
  const { placement, inFlight } = setUp([engine('d1', 'decode')]);
  inFlight.adjust('d1', { streams: 10, memoryTokens: 100 });
  const req = { ...REQUEST, promptTokens: 9_000, longestPauseMs: 10 };
  assert.equal(placement.choose(req, 0)?.decode, 'd1');
});

// Guards against requests to an engine that is changing its role: it refuses them, and the list of engines
// still shows its old role.
test('an engine that changes its role gets no requests', () => {
  const knowledge = new EngineKnowledge();
  const placement = new LocalPlacement(knowledge);
  placement.setEngines(POOL);
  knowledge.roleChanges.begin('p1', 'decode', 20_000);
  knowledge.roleChanges.begin('d1', 'prefill', 20_000);
  const pair = placement.choose(REQUEST, 0);
  assert.deepEqual([pair?.prefill, pair?.decode], ['p2', 'd2']);
});

test('outliers among the recent prefills do not change the estimated speed', () => {
  const { health } = setUp(POOL);
  const durations = [100, 100, 100, 1, 100, 300, 100, 100, 100, 100];
  durations.forEach((ms) => health.recordPrefill('p1', 3_000, ms));
  assert.equal(health.estimatePrefillMs('p1', 3_000, []), 100);
  assert.equal(health.estimatePrefillMs('p2', 3_000, ['p1', 'p2']), 100);
});

// Guards against idle engines that get no prompts because an old report of a peer still counts in full.
test('prompts reported by a peer count less as the report ages', () => {
  const { placement, inFlight, health } = setUp(POOL);
  ['p1', 'p2'].forEach((id) => health.recordPrefill(id, 5_000, 100));
  const queued = { prefillTokens: 10_000, streams: 0, memoryTokens: 0 };
  inFlight.receive('peer', new Map([['p1', queued]]), 0);
  inFlight.adjust('p2', { prefillTokens: 5_000 });
  assert.equal(placement.choose(REQUEST, 50)?.prefill, 'p2');
  assert.equal(placement.choose(REQUEST, 180)?.prefill, 'p1');
});
