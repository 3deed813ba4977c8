import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineConfig } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { EngineHealth, LocalPlacement, UseBook } from '@camphorvane/decisions';

const WISH = { promptTokens: 5_000, memoryTokens: 8_000, avoid: [] };

function engine(id: string, role: 'prefill' | 'decode', zone = 'a'): EngineConfig {
  return { id, url: `http://${id}`, zone, role, memoryPieces: 80, slots: 64, checksFencing: false };
}

function setUp(engines: readonly EngineConfig[]): {
  readonly placement: LocalPlacement;
  readonly book: UseBook;
  readonly health: EngineHealth;
} {
  const book = new UseBook();
  const health = new EngineHealth();
  const placement = new LocalPlacement(book, health);
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
  book.hear('peer', new Map([['p2', { prefillTokens: 20_000, streams: 0, memoryTokens: 0 }]]), 0);
  assert.equal(placement.choose(WISH, 0)?.prefill, 'p1');
});

// A peer dies with work on an engine. Its last word must not keep that engine shut for ever.
test('what a silent peer said is forgotten', () => {
  const { placement, book } = setUp([engine('d1', 'decode')]);
  book.hear('peer', new Map([['d1', { prefillTokens: 0, streams: 9, memoryTokens: 80_000 }]]), 0);
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

test('a decode engine is not filled beyond its memory', () => {
  const { placement, book } = setUp([engine('d1', 'decode')]);
  book.change('d1', { memoryTokens: 72_000 });
  assert.equal(placement.choose(WISH, 0), undefined);
});

// Ninety hosts choose at the same moment, on words that are a second old. If all took the engine that
// looked emptiest, it would be filled several times over, and refuse prompts that were read in vain.
test('hosts of a large fleet do not all choose the same engine', () => {
  const engines = Array.from({ length: 20 }, (_, i) => engine(`d${i}`, 'decode'));
  const chosen = Array.from({ length: 90 }, (_, seed) => {
    const book = new UseBook();
    Array.from({ length: 89 }, (__, i) => book.hear(`h${i}`, new Map(), 0));
    book.change('d0', { memoryTokens: 100 });
    const placement = new LocalPlacement(book, new EngineHealth(), new RandomSource(seed));
    placement.reshape(engines);
    return placement.choose(WISH, 0)?.decode;
  });
  const most = Math.max(...engines.map(({ id }) => chosen.filter((one) => one === id).length));
  assert.ok(most <= 25, `${most} of 90 chose one engine`);
});
