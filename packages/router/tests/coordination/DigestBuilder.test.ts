import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HostHint } from '@camphorvane/peer/hints';
import { DigestBuilder } from '../../src/coordination/DigestBuilder.ts';

const hint = (host: string, more: Partial<HostHint> = {}): HostHint => ({
  ...{
    host,
    incarnation: 'i',
    sequence: 1,
    leaving: false,
    digests: 'often' as const,
    serving: true,
  },
  nextMs: 300,
  ...{ engines: [], charged: [], demand: [], moves: [], down: [], calls: [] },
  versions: { config: 1, servers: 1 },
  drained: { version: 0, zones: [] },
  upstreams: [],
  quotes: [],
  ...more,
});

const load = (engine: string, streams: number) => ({
  engine,
  prefillTokens: 10 * streams,
  streams,
  memoryTokens: 100 * streams,
});

const HEAD = { host: 'relay', incarnation: 'r', sequence: 1, silent: [] };

// Guards against a host that counts its own load on an engine twice: by itself and from a digest.
test('a digest sums up the hints of all hosts but the receiver', () => {
  const builder = new DigestBuilder();
  builder.receive(hint('a', { engines: [load('e', 2)], calls: [['s', 3]], down: ['x', 'y'] }), 0);
  builder.receive(hint('b', { engines: [load('e', 1), load('f', 4)], calls: [['s', 5]] }), 0);
  builder.receive(
    hint('c', { down: ['x'], leaving: true, versions: { config: 7, servers: 2 } }),
    0,
  );
  const sums = builder.aggregate(0);
  const forA = builder.digestFor('a', sums, HEAD);
  assert.deepEqual(forA.engines, [load('e', 1), load('f', 4)]);
  assert.deepEqual(forA.calls, [['s', 5]]);
  assert.deepEqual(forA.down, ['x']);
  assert.deepEqual(forA.leaving, ['c']);
  assert.equal(forA.hostCount, 2);
  const forB = builder.digestFor('b', sums, HEAD);
  assert.deepEqual(forB.engines, [load('e', 2)]);
  assert.deepEqual(forB.down, ['x', 'y']);
  assert.deepEqual(forB.versions, { config: 7, servers: 2 });
  assert.equal(builder.digestFor('unknown', sums, HEAD).hostCount, 3);
});

test('a digest counts the requests queued on all hosts but the receiver', () => {
  const builder = new DigestBuilder();
  const demand = (requests: number, onTimeWaiting: number) => [
    { model: 'm', requests, promptTokens: 0, memoryTokens: 0, memorySteps: 0, onTimeWaiting },
  ];
  const receiveAll = (requests: number): void => {
    builder.receive(hint('a', { demand: demand(requests, 2) }), 0);
    builder.receive(hint('b', { demand: demand(requests, 3) }), 0);
  };
  receiveAll(10);
  receiveAll(14);
  const [forA] = builder.digestFor('a', builder.aggregate(0), HEAD).demand;
  assert.equal(forA?.requests, 4);
  assert.equal(forA?.onTimeWaiting, 3);
});

// Guards against a relay that passes on an old limit as if it had just been named, after which hosts would
// not believe that it has ended.
test('a digest carries the newest report on each upstream, with its age', () => {
  const builder = new DigestBuilder();
  const named = { type: 'limit', upstream: 's', requestsPerSecond: 3, ageMs: 10 } as const;
  builder.receive(hint('a', { upstreams: [named] }), 0);
  builder.receive(hint('b', { upstreams: [{ type: 'no_limit', upstream: 's', ageMs: 20 }] }), 100);
  const { upstreams } = builder.digestFor('c', builder.aggregate(150), HEAD);
  assert.deepEqual(upstreams, [{ type: 'no_limit', upstream: 's', ageMs: 70 }]);
});

// Guards against a host that counts its own quote twice, and against digests that outgrow a datagram.
test('a digest averages the quoted waits of all hosts but the receiver by their turns', () => {
  const builder = new DigestBuilder();
  const quote = (waitMs: number, turns: number, queue = 'pool/m') => ({
    ...{ queue, priority: 1, waitMs, turns },
  });
  const many = Array.from({ length: 100 }, (_, i) => quote(100, 1 + i, `rate/t${i}`));
  builder.receive(hint('a', { quotes: [quote(1_000, 300)] }), 0);
  builder.receive(hint('b', { quotes: [quote(2_000, 100), ...many] }), 0);
  builder.receive(hint('c', { quotes: [quote(3_000, 200)] }), 0);
  const sums = builder.aggregate(0);
  assert.deepEqual(builder.digestFor('b', sums, HEAD).quotes, [quote(1_800, 500)]);
  const forC = builder.digestFor('c', sums, HEAD).quotes;
  assert.deepEqual(forC[0], quote(1_250, 400));
  assert.equal(forC.length, 16);
});
