import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineConfig, EngineRole } from '@camphorvane/core';
import { EngineMoves } from '@camphorvane/decisions';

const listed = (role: EngineRole): readonly EngineConfig[] => [
  { id: 'e', url: 'http://e', zone: 'a', role, memoryPieces: 1, checksFencing: false },
];

// The list of engines shows the old role for as long as a change takes, and the engine refuses work.
test('an engine is changing until the list shows its new role', () => {
  const moves = new EngineMoves();
  moves.begin('e', 'decode', 20_000);
  moves.settle(listed('prefill'), 5_000);
  assert.equal(moves.roleOf('e', 5_000), 'decode');
  moves.settle(listed('decode'), 7_000);
  assert.equal(moves.roleOf('e', 7_000), undefined);
});

// An order that got no answer was never carried out. The engine must not stay unused for ever.
test('a change that is never seen counts for a while only', () => {
  const moves = new EngineMoves();
  moves.begin('e', 'decode', 20_000);
  assert.equal(moves.roleOf('e', 20_001), undefined);
});

test('peers hear of a change, and of one that was taken back', () => {
  const own = new EngineMoves();
  const peer = new EngineMoves();
  own.begin('e', 'decode', 20_000);
  peer.receive(own.getOwn(1_000), 1_000);
  assert.equal(peer.roleOf('e', 1_000), 'decode');
  own.takeBack('e', 1_100);
  peer.receive(own.getOwn(1_100), 1_100);
  assert.equal(peer.roleOf('e', 1_100), undefined);
});

// A peer that has not yet seen the list change goes on telling of a change that is complete here.
test('old news of a complete change does no harm once the list shows it', () => {
  const moves = new EngineMoves();
  moves.receive([{ engine: 'e', role: 'decode', leftMs: 9_000 }], 0);
  moves.settle(listed('decode'), 100);
  assert.equal(moves.roleOf('e', 100), undefined);
});

test('only the host that ordered a change tells of it', () => {
  const peer = new EngineMoves();
  peer.receive([{ engine: 'e', role: 'decode', leftMs: 9_000 }], 0);
  assert.deepEqual(peer.getOwn(0), []);
});

test('an engine that has gone is forgotten', () => {
  const moves = new EngineMoves();
  moves.begin('e', 'decode', 20_000);
  moves.settle([], 1_000);
  assert.equal(moves.roleOf('e', 1_000), undefined);
});
