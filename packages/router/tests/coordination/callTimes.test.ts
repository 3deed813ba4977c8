import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallTime } from '@camphorvane/decisions';
import type { HostHint } from '@camphorvane/peer/hints';
import { DigestBuilder } from '../../src/coordination/DigestBuilder.ts';

function hintOf(host: string, callTimes: readonly CallTime[]): HostHint {
  return {
    ...{ host, incarnation: 'i', sequence: 1, leaving: false, serving: true, digests: 'often' },
    ...{ nextMs: 300, engines: [], charged: [], demand: [], moves: [], down: [], calls: [] },
    ...{
      versions: { config: 1, servers: 1 },
      drained: { version: 0, zones: [] },
      upstreams: [],
      quotes: [],
    },
    callTimes,
  };
}

// Guards against a relay that passes on old observations as new ones, or more than fit into a datagram.
test('a digest has the newest call times of all hosts, with their ages, at most 64', () => {
  const builder = new DigestBuilder();
  builder.receive(hintOf('a', [{ upstream: 's1', ms: 52, ageMs: 10 }]), 0);
  builder.receive(hintOf('b', [{ upstream: 's1', ms: 21, ageMs: 50 }]), 100);
  const head = { host: 'r', incarnation: 'i', sequence: 1, silent: [] };
  const { callTimes } = builder.digestFor('c', builder.aggregate(200), head);
  assert.deepEqual(callTimes, [{ upstream: 's1', ms: 21, ageMs: 150 }]);
  const many = Array.from({ length: 100 }, (_, i) => ({ upstream: `u${i}`, ms: 1, ageMs: i }));
  builder.receive(hintOf('d', many), 200);
  assert.equal(builder.aggregate(200).callTimes.length, 64);
});
