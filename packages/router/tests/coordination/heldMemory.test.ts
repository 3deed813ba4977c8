import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InFlightTracker } from '@camphorvane/decisions';
import type { EngineHint, HostHint } from '@camphorvane/peer/hints';
import { DigestBuilder } from '../../src/coordination/DigestBuilder.ts';

const hint = (host: string, engines: readonly EngineHint[]): HostHint => ({
  ...{ host, incarnation: 'i', sequence: 1, leaving: false, digests: 'often', serving: true },
  ...{ nextMs: 300, engines, charged: [], demand: [], moves: [], down: [], calls: [] },
  ...{
    versions: { config: 1, servers: 1 },
    drained: { version: 0, zones: [] },
    upstreams: [],
    quotes: [],
  },
});

const HEAD = { host: 'relay', incarnation: 'r', sequence: 1, silent: [] };

const load = (engine: string, tokens?: number): EngineHint => ({
  ...{ engine, prefillTokens: 0, streams: 1, memoryTokens: 8_000 },
  ...(tokens === undefined ? {} : { held: { tokens, growthPerMs: 2 } }),
});

// Guards against a host that counts its own streams twice, and against a shortage that is overlooked
// because some hosts don't report what their streams hold.
test('a digest sums up what the streams of all hosts but the receiver hold', () => {
  const builder = new DigestBuilder();
  builder.receive(hint('a', [load('e', 5_000)]), 0);
  builder.receive(hint('b', [load('e', 6_000)]), 0);
  builder.receive(hint('c', [load('e')]), 0);
  const [engine] = builder.digestFor('a', builder.aggregate(0), HEAD).engines;
  assert.deepEqual(engine?.held, { tokens: 14_000, growthPerMs: 2 });
});

// Guards against digests that exceed the budget of the gossip in large fleets.
test('a digest bounds the engines with what their streams hold to the fullest ones', () => {
  const builder = new DigestBuilder();
  builder.receive(
    hint(
      'a',
      Array.from({ length: 500 }, (_, i) => load(`e${i}`, i)),
    ),
    0,
  );
  const { engines } = builder.digestFor('b', builder.aggregate(0), HEAD);
  const withHeld = engines.filter(({ held }) => held !== undefined);
  assert.equal(engines.length, 500);
  assert.equal(withHeld.length, 128);
  assert.ok(withHeld.every(({ held }) => (held?.tokens ?? 0) >= 372));
});

test('what streams hold grows with the age of a report, and is the mean memory without one', () => {
  const inFlight = new InFlightTracker();
  inFlight.adjust('e', { streams: 1, memoryTokens: 8_000 });
  inFlight.setHeld(new Map([['e', { tokens: 5_000, growthPerMs: 2 }]]));
  inFlight.receive('a', new Map([['e', load('e', 6_000)]]), 0);
  inFlight.receive('b', new Map([['e', load('e')]]), 0);
  assert.deepEqual(inFlight.getHeld('e', 100), { tokens: 19_200, growthPerMs: 4 });
  inFlight.setHeld(new Map());
  assert.equal(inFlight.getOwn().get('e')?.held, undefined);
});
