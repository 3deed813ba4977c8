import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineConfig } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { EngineKnowledge, LocalPlacement } from '@camphorvane/decisions';

const WISH = { promptTokens: 5_000, memoryTokens: 8_000, avoid: [] };

function engine(id: string, role: 'prefill' | 'decode', zone = 'a'): EngineConfig {
  return { id, url: `http://${id}`, zone, role, memoryPieces: 80, slots: 64, checksFencing: false };
}

function setUp(engines: readonly EngineConfig[]): {
  readonly placement: LocalPlacement;
  readonly book: EngineKnowledge['use'];
  readonly health: EngineKnowledge['health'];
} {
  const knowledge = new EngineKnowledge();
  const { use: book, health } = knowledge;
  const placement = new LocalPlacement(knowledge);
  placement.reshape(engines);
  return { placement, book, health };
}

const POOL = [
  engine('p1', 'prefill'),
  engine('p2', 'prefill', 'b'),
  engine('d1', 'decode'),
  engine('d2', 'decode', 'b'),
];

test('prefill goes where the prompt is read first, as peers count too', () => {
  const { placement, book } = setUp(POOL);
  book.change('p1', { prefillTokens: 5_000 });
  book.receive(
    'peer',
    new Map([['p2', { prefillTokens: 20_000, streams: 0, memoryTokens: 0 }]]),
    0,
  );
  assert.equal(placement.choose(WISH, 0)?.prefill, 'p1');
});

// A peer dies with work on an engine. Its last hint must not keep that engine shut for ever.
test('what a silent peer said is forgotten', () => {
  const { placement, book } = setUp([engine('d1', 'decode')]);
  book.receive(
    'peer',
    new Map([['d1', { prefillTokens: 0, streams: 9, memoryTokens: 80_000 }]]),
    0,
  );
  assert.equal(placement.choose(WISH, 1_000), undefined);
  assert.equal(placement.choose(WISH, 2_000)?.decode, 'd1');
});

test('both engines are in one zone where that costs no time', () => {
  const { placement } = setUp(POOL);
  const pair = placement.choose(WISH, 0);
  assert.ok(['p1 d1', 'p2 d2'].includes(`${pair?.prefill} ${pair?.decode}`));
});

// All prefill engines are gone. Decode engines can read prompts too, slowly, so nobody is refused.
test('a decode engine reads the prompt where no prefill engine is left', () => {
  const { placement } = setUp([engine('d1', 'decode')]);
  const pair = placement.choose(WISH, 0);
  assert.equal(pair?.prefill, undefined);
  assert.equal(pair?.decode, 'd1');
});

test('no two prompts are read on one decode engine at a time', () => {
  const { placement, book } = setUp([engine('d1', 'decode')]);
  book.change('d1', { prefillTokens: 100 });
  assert.equal(placement.choose(WISH, 0), undefined);
});

// An engine has crashed and is still listed. Every request would try it first, since it looks empty.
test('an engine that failed is passed over, but not where it is the only one', () => {
  const { placement, health } = setUp(POOL);
  health.failed('d1', 0);
  assert.equal(placement.choose(WISH, 100)?.decode, 'd2');
  assert.equal(placement.choose({ ...WISH, avoid: ['d2'] }, 100)?.decode, 'd1');
  health.succeeded('d1');
  assert.notEqual(placement.choose({ ...WISH, avoid: ['d2'] }, 100), undefined);
});

// An engine gave no answer. What is sent to it is lost, also where it is the only one; a request waits
// until it answers again, or another one comes.
test('an engine that is being probed gets nothing', () => {
  const { placement, health } = setUp(POOL);
  health.suspect('d1');
  assert.equal(placement.choose(WISH, 0)?.decode, 'd2');
  assert.equal(placement.choose({ ...WISH, avoid: ['d2'] }, 0), undefined);
  health.trust('d1');
  assert.equal(placement.choose({ ...WISH, avoid: ['d2'] }, 0)?.decode, 'd1');
});

test('a decode engine is not filled beyond its memory', () => {
  const { placement, book } = setUp([engine('d1', 'decode')]);
  book.change('d1', { memoryTokens: 72_000 });
  assert.equal(placement.choose(WISH, 0), undefined);
});

// Ninety hosts choose at the same moment, on hints that are a second old. If all took the engine that
// looked emptiest, it would be filled several times over, and refuse prompts that were read in vain.
test('hosts of a large fleet do not all choose the same engine', () => {
  const engines = Array.from({ length: 20 }, (_, i) => engine(`d${i}`, 'decode'));
  const chosen = Array.from({ length: 90 }, (_, seed) => {
    const knowledge = new EngineKnowledge();
    const { use: book } = knowledge;
    Array.from({ length: 89 }, (__, i) => book.receive(`h${i}`, new Map(), 0));
    book.change('d0', { memoryTokens: 100 });
    const placement = new LocalPlacement(knowledge, new RandomSource(seed));
    placement.reshape(engines);
    return placement.choose(WISH, 0)?.decode;
  });
  const most = Math.max(...engines.map(({ id }) => chosen.filter((one) => one === id).length));
  assert.ok(most <= 25, `${most} of 90 chose one engine`);
});

/** Prefill engines that are busy for so long that a decode engine would read sooner. */
function setUpBusyReaders(tokenMs: number, streams: number) {
  const pool = [engine('p1', 'prefill'), { ...engine('d1', 'decode'), eventTokens: 12 }];
  const all = setUp(pool);
  all.health.prefillTook('p1', 3_300, 100);
  all.health.tokensTook('d1', tokenMs);
  all.book.change('p1', { prefillTokens: 30_000 });
  all.book.change('d1', { streams, memoryTokens: 100 });
  return all;
}

// A slow engine reads a prompt of 5,000 tokens for 300 ms. Its ten streams would stand still for that
// long, and each of their callers sees an answer that stutters, so that one gets its own sooner.
test('no prompt is read beside streams that would pause too long', () => {
  const { placement } = setUpBusyReaders(4, 10);
  const allowed = { ...WISH, promptTokens: 5_000 };
  assert.equal(placement.choose({ ...allowed, longestPauseMs: 300 }, 0)?.prefill, 'p1');
  assert.equal(placement.choose({ ...allowed, longestPauseMs: 500 }, 0)?.prefill, undefined);
  assert.equal(placement.choose(allowed, 0)?.prefill, undefined);
});

test('a short prompt, or one that nobody has to pause for, is read where there is time', () => {
  const busy = setUpBusyReaders(4, 10).placement;
  const short = { ...WISH, promptTokens: 2_000, longestPauseMs: 300 };
  assert.equal(busy.choose(short, 0)?.prefill, undefined);
  const empty = setUpBusyReaders(4, 0).placement;
  const long = { ...WISH, promptTokens: 9_000, longestPauseMs: 300 };
  assert.equal(empty.choose(long, 0)?.prefill, undefined);
});

// All prefill engines are gone. A stutter in some answers is better than no answer to anybody.
test('without any prefill engine a prompt is read beside streams in any case', () => {
  const { placement, book } = setUp([engine('d1', 'decode')]);
  book.change('d1', { streams: 10, memoryTokens: 100 });
  const wish = { ...WISH, promptTokens: 9_000, longestPauseMs: 10 };
  assert.equal(placement.choose(wish, 0)?.decode, 'd1');
});

// An engine is changing its role, which the list does not show yet. It refuses whatever is sent to it.
test('an engine that changes its role gets nothing', () => {
  const knowledge = new EngineKnowledge();
  const placement = new LocalPlacement(knowledge);
  placement.reshape(POOL);
  knowledge.moves.begin('p1', 'decode', 20_000);
  knowledge.moves.begin('d1', 'prefill', 20_000);
  const pair = placement.choose(WISH, 0);
  assert.deepEqual([pair?.prefill, pair?.decode], ['p2', 'd2']);
});

test('the speed of an engine is what its last prompts show, whatever single ones say', () => {
  const { health } = setUp(POOL);
  const took = [100, 100, 100, 1, 100, 300, 100, 100, 100, 100];
  took.forEach((ms) => health.prefillTook('p1', 3_000, ms));
  assert.equal(health.readMs('p1', 3_000, []), 100);
  assert.equal(health.readMs('p2', 3_000, ['p1', 'p2']), 100);
});

// Guards against idle engines that get no prompt since an old hint of a peer still counts in full.
test('a prompt that a peer sent a while ago is taken for read', () => {
  const { placement, book, health } = setUp(POOL);
  ['p1', 'p2'].forEach((id) => health.prefillTook(id, 5_000, 100));
  const queued = { prefillTokens: 10_000, streams: 0, memoryTokens: 0 };
  book.receive('peer', new Map([['p1', queued]]), 0);
  book.change('p2', { prefillTokens: 5_000 });
  assert.equal(placement.choose(WISH, 50)?.prefill, 'p2');
  assert.equal(placement.choose(WISH, 180)?.prefill, 'p1');
});
