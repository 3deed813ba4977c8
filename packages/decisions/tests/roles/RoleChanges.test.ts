import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineConfig, EngineRole } from '@camphorvane/core';
import { RoleChanges } from '@camphorvane/decisions';

const engineList = (role: EngineRole): readonly EngineConfig[] => [
  { id: 'e', url: 'http://e', zone: 'a', role, memoryPieces: 1, checksFencing: false },
];

// While an engine changes, the engine list shows its old role and the engine refuses work.
test('an engine is changing until the engine list shows its new role', () => {
  const changes = new RoleChanges();
  changes.begin('e', 'decode', 20_000);
  changes.prune(engineList('prefill'), 5_000);
  assert.equal(changes.getTargetRole('e', 5_000), 'decode');
  changes.prune(engineList('decode'), 7_000);
  assert.equal(changes.getTargetRole('e', 7_000), undefined);
});

// An order without an answer may never be carried out; the engine must not stay unused forever.
test('a change that never completes times out', () => {
  const changes = new RoleChanges();
  changes.begin('e', 'decode', 20_000);
  assert.equal(changes.getTargetRole('e', 20_001), undefined);
});

test('peers are told of a change and of its revocation', () => {
  const own = new RoleChanges();
  const peer = new RoleChanges();
  own.begin('e', 'decode', 20_000);
  peer.receive(own.getOwnChanges(1_000), 1_000);
  assert.equal(peer.getTargetRole('e', 1_000), 'decode');
  own.revoke('e', 1_100);
  peer.receive(own.getOwnChanges(1_100), 1_100);
  assert.equal(peer.getTargetRole('e', 1_100), undefined);
});

// A peer whose engine list is older still gossips a change that is complete here.
test('gossip about a complete change is dropped once the engine list shows the new role', () => {
  const changes = new RoleChanges();
  changes.receive([{ engine: 'e', role: 'decode', leftMs: 9_000 }], 0);
  changes.prune(engineList('decode'), 100);
  assert.equal(changes.getTargetRole('e', 100), undefined);
});

test('only the host that ordered a change gossips it', () => {
  const peer = new RoleChanges();
  peer.receive([{ engine: 'e', role: 'decode', leftMs: 9_000 }], 0);
  assert.deepEqual(peer.getOwnChanges(0), []);
});

test('the change of an engine that left the pool is dropped', () => {
  const changes = new RoleChanges();
  changes.begin('e', 'decode', 20_000);
  changes.prune([], 1_000);
  assert.equal(changes.getTargetRole('e', 1_000), undefined);
});
