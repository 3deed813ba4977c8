import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sha256Hex } from '@camphorvane/core';
import { KeyRing, type WithdrawnKey } from '@camphorvane/store';
import { configOf, team } from '../support/publish.ts';

const [KEY_A, KEY_B] = ['cvk_a', 'cvk_b'];
const [DIGEST_A, DIGEST_B] = [sha256Hex(KEY_A), sha256Hex(KEY_B)];

test('a key maps to its own team only', () => {
  const ring = new KeyRing();
  ring.update(configOf(team('a', [DIGEST_A]), team('b', [DIGEST_B])));
  const found = ring.lookup(KEY_B);
  assert.ok(found.type === 'team');
  assert.deepEqual([found.team.id, found.digest], ['b', DIGEST_B]);
  assert.equal(ring.lookup(DIGEST_B).type, 'unknown');
  assert.equal(ring.lookup('x'.repeat(100_000)).type, 'unknown');
});

test('a withdrawn key is refused as withdrawn and the listeners are notified', () => {
  // An operator withdraws a leaked key while a client has a long stream open and sends new requests.
  // The stream must end, and the requests must be refused with the reason.
  const ring = new KeyRing();
  const notified: WithdrawnKey[] = [];
  ring.update(configOf(team('a', [DIGEST_A, DIGEST_B])));
  ring.onWithdrawn((keys) => notified.push(...keys));
  ring.update(configOf(team('a', [DIGEST_B])));
  assert.deepEqual(notified, [{ digest: DIGEST_A, team: 'a' }]);
  assert.equal(ring.lookup(KEY_A).type, 'withdrawn');
  assert.equal(ring.isActive(DIGEST_A, 'a'), false);
  ring.update(configOf(team('a', [DIGEST_A, DIGEST_B])));
  assert.equal(ring.lookup(KEY_A).type, 'team');
  assert.equal(notified.length, 1);
});

test('a key that moves to another team counts as withdrawn from the first team', () => {
  const ring = new KeyRing();
  const notified: WithdrawnKey[] = [];
  ring.update(configOf(team('a', [DIGEST_A]), team('b')));
  ring.onWithdrawn((keys) => notified.push(...keys));
  ring.update(configOf(team('a'), team('b', [DIGEST_A])));
  assert.deepEqual(notified, [{ digest: DIGEST_A, team: 'a' }]);
  assert.equal(ring.lookup(KEY_A).type, 'team');
});
