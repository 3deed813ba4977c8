import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@camphorvane/core';
import { chooseRoute, RelayPeers } from '../../src/index.ts';
import type { RelayCandidate } from '../../src/index.ts';

const peersOf = (count: number, zone = 'a'): readonly RelayCandidate[] =>
  Array.from({ length: count }, (_, i) => ({ host: `${zone}${i}`, zone }));

// Guards against a herd: a third of a large fleet loses its links, and all of it runs to the same peers.
test('hosts that lose their links together spread over the peers', () => {
  const peers = ['a', 'b', 'c'].flatMap((zone) => peersOf(78, zone));
  const loads = new Map<string, number>();
  Array.from(
    { length: 117 },
    (_, seed) => new RelayPeers('abc'[seed % 3] ?? 'a', new RandomSource(seed)),
  )
    .flatMap((relay) => Array.from({ length: 10 }, () => relay))
    .forEach((relay) => {
      const host = relay.choose(peers, 0)?.host ?? '';
      relay.enter(host);
      loads.set(host, (loads.get(host) ?? 0) + 1);
    });
  const mean = (117 * 10) / peers.length;
  assert.ok(
    Math.max(...loads.values()) <= mean * 4,
    `${Math.max(...loads.values())} of mean ${mean}`,
  );
});

test('a peer of the same zone is chosen until it has a few more requests than others', () => {
  const relay = new RelayPeers('a', new RandomSource(1));
  const peers = [...peersOf(1, 'a'), ...peersOf(1, 'b')];
  const chosen = Array.from({ length: 6 }, () => {
    const host = relay.choose(peers, 0)?.host ?? '';
    relay.enter(host);
    return host;
  });
  assert.deepEqual(chosen.slice(0, 3), ['a0', 'a0', 'a0']);
  assert.ok(chosen.includes('b0'));
});

test('a peer that failed is left out for a moment', () => {
  const relay = new RelayPeers('a', new RandomSource(1));
  relay.avoid('a0', 0);
  assert.equal(relay.choose(peersOf(1), 100), undefined);
  assert.equal(relay.choose(peersOf(1), 500)?.host, 'a0');
});

test('counts what peers serve', () => {
  const relay = new RelayPeers('a', new RandomSource(1));
  const leave = relay.enter('a0');
  relay.enter('b0');
  assert.equal(relay.countInFlight(), 2);
  leave();
  assert.equal(relay.countInFlight(), 1);
});

// Guards against refusals, or requests passed on, while a sound upstream is silent for a second.
test('upstreams that nobody reaches are tried directly for a moment, and then refused', () => {
  const unreached = { since: 1_000, failed: 3, listed: 3 };
  assert.equal(chooseRoute(undefined, true, 1_000), 'direct');
  assert.equal(chooseRoute(unreached, true, 1_000), 'relayed');
  assert.equal(chooseRoute(unreached, false, 2_400), 'direct');
  assert.equal(chooseRoute(unreached, false, 2_600), 'none');
});
