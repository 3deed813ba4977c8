import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { READ_TURN_MS, ReadTurns } from '@camphorvane/decisions';

const EPOCH: Millis = 1_700_000_000_000;

/** Gets when a host has its turns, in milliseconds after the epoch. */
function turnsOf(self: string, hosts: readonly string[], forMs: Millis): readonly Millis[] {
  const turns = new ReadTurns(self);
  turns.setPeers(hosts.filter((host) => host !== self));
  const found: Millis[] = [];
  let at = 0;
  while (at < forMs) {
    at += turns.nextInMs(EPOCH + at) ?? forMs;
    found.push(at);
  }
  return found;
}

function hostsOf(count: number): readonly string[] {
  return Array.from({ length: count }, (_, i) => `zone-${'abc'[i % 3]}-${i}`);
}

[12, 79, 350].forEach((count) => {
  test(`${count} hosts take turns at even distances`, () => {
    const hosts = hostsOf(count);
    const roundMs = count * READ_TURN_MS;
    const turns = hosts.flatMap((host) => turnsOf(host, hosts, roundMs)).sort((a, b) => a - b);
    const inRound = turns.filter((at) => at <= roundMs);
    assert.equal(inRound.length, count);
    inRound.slice(1).forEach((at, i) => {
      assert.ok(Math.abs(at - (inRound[i] ?? 0) - READ_TURN_MS) < 1);
    });
  });

  // Guards against a change that is found late since the hosts whose turn it is have lost the store.
  test(`with a third of ${count} hosts away, and with a zone away, a turn comes every two seconds`, () => {
    const hosts = hostsOf(count);
    const random = new RandomSource(count);
    const isAway = new Set(hosts.filter(() => random.next() < 0.35));
    const inZone = new Set(hosts.filter((host) => host.startsWith('zone-a')));
    [isAway, inZone].forEach((away) => {
      const turns = hosts
        .filter((host) => !away.has(host))
        .flatMap((host) => turnsOf(host, hosts, 60_000))
        .sort((a, b) => a - b);
      const gaps = turns.slice(1).map((at, i) => at - (turns[i] ?? 0));
      assert.ok(Math.max(...gaps) <= 2_500, `${Math.max(...gaps)} ms without a turn`);
    });
  });
});

test('a host that does not know the others has no turn', () => {
  const turns = new ReadTurns('x');
  assert.equal(turns.nextInMs(EPOCH), undefined);
  turns.setPeers([]);
  assert.ok((turns.nextInMs(EPOCH) ?? 0) <= READ_TURN_MS);
});
