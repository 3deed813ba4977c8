import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ForwardRoute, SoftwareVersion } from '@camphorvane/core';
import type { TakeUpKnowledge } from '@camphorvane/decisions';
import {
  bindingTo,
  decideTakeUp,
  FREE_STREAM,
  MAX_ORIGINS,
  mayRunOn,
  ORIGIN_TTL_MS,
  peersToAsk,
  peersToTell,
  RoutePools,
  StreamOrigins,
  VersionHistory,
} from '@camphorvane/decisions';

const known = (name: string): SoftwareVersion => ({ type: 'known', name });
const UNKNOWN: SoftwareVersion = { type: 'unknown' };

const NOTHING: TakeUpKnowledge = {
  ...{ own: undefined, peers: [], soleVersion: undefined },
  ...{ pools: ['m'], hasVersions: true },
};

test('a stream runs on engines of its version only, and an unknown version equals none', () => {
  assert.ok([known('v1'), UNKNOWN, undefined].every((one) => mayRunOn(FREE_STREAM, one)));
  const bound = bindingTo(known('v1'));
  assert.deepEqual(
    [known('v1'), known('v2'), UNKNOWN, undefined].map((one) => mayRunOn(bound, one)),
    [true, false, false, false],
  );
  assert.ok([known('v1'), UNKNOWN].every((one) => !mayRunOn(bindingTo(UNKNOWN), one)));
  assert.deepEqual(bindingTo(undefined), FREE_STREAM);
});

test('a single version is named only after it alone was listed for as long as streams are taken up', () => {
  const history = new VersionHistory(1_000, 1_500);
  history.record('m', [known('v1'), known('v1')], 0);
  assert.equal(history.getSoleVersion('m', 999), undefined);
  assert.equal(history.getSoleVersion('m', 1_000), 'v1');
  history.record('m', [known('v1'), known('v2')], 1_500);
  assert.equal(history.getSoleVersion('m', 1_500), undefined);
  history.record('m', [known('v2')], 2_000);
  assert.equal(
    history.getSoleVersion('m', 2_500),
    undefined,
    'streams of v1 may still be taken up',
  );
  history.record('m', [known('v2')], 2_501);
  assert.equal(history.getSoleVersion('m', 2_501), 'v2');
  history.record('m', [UNKNOWN], 4_000);
  assert.equal(history.getSoleVersion('m', 4_000), undefined);
});

test('origins are bounded in number and in time, and the first version that is told stays', () => {
  const origins = new StreamOrigins();
  origins.keep({ id: 'a', version: 'v1' }, 0);
  origins.keep({ id: 'a', version: 'v2' }, 10);
  assert.equal(origins.get('a', ORIGIN_TTL_MS + 10)?.version, 'v1');
  assert.equal(origins.get('a', ORIGIN_TTL_MS + 11), undefined);
  Array.from({ length: MAX_ORIGINS + 5 }, (_, i) => `s${i}`).forEach((id) =>
    origins.keep({ id, version: 'v1' }, 20),
  );
  assert.equal(origins.size, MAX_ORIGINS);
  origins.keep({ id: 'z', version: 'v1' }, ORIGIN_TTL_MS + 21);
  assert.equal(origins.size, 1);
});

// Guards against a stream that goes on at the version of a peer that is wrong, or at one that is only likely.
test('a taken up stream goes on where its version is certain', () => {
  assert.equal(decideTakeUp(NOTHING).type, 'unknown');
  const [v1, v2] = [{ version: 'v1' }, { version: 'v2' }];
  assert.equal(decideTakeUp({ ...NOTHING, peers: [v1, v2] }).type, 'unknown');
  const bound = { type: 'bound', version: 'v1' };
  const decisions = [
    decideTakeUp({ ...NOTHING, own: v1, peers: [v2] }),
    decideTakeUp({ ...NOTHING, peers: [v1, v1], soleVersion: 'v2' }),
    decideTakeUp({ ...NOTHING, soleVersion: 'v1' }),
  ];
  assert.deepEqual(
    decisions.map((one) => (one.type === 'go_on' ? [one.source, one.binding, one.pool] : one.type)),
    [
      ['own', bound, 'm'],
      ['peer', bound, 'm'],
      ['sole_version', bound, 'm'],
    ],
  );
  const free = { type: 'go_on', binding: FREE_STREAM, pool: undefined, source: 'no_versions' };
  assert.deepEqual(decideTakeUp({ ...NOTHING, hasVersions: false }), free);
});

// Guards against a stream that goes on at another pool, whose version has the name of the one that began it.
test('a taken up stream goes on at the pool that began it, if its route still leads there', () => {
  const decide = (knowledge: Partial<TakeUpKnowledge>): string => {
    const decision = decideTakeUp({ ...NOTHING, ...knowledge });
    return decision.type === 'go_on' ? `${decision.pool}` : decision.type;
  };
  const [atM, atN] = [
    { version: 'v1', pool: 'm' },
    { version: 'v1', pool: 'n' },
  ];
  const both = { pools: ['n', 'm'] };
  assert.equal(decide({ ...both, own: atM }), 'm');
  assert.equal(decide({ ...both, peers: [atN, { version: 'v1' }, atN] }), 'n');
  assert.equal(decide({ ...both, peers: [atN, atM] }), 'unknown');
  assert.equal(decide({ ...both, own: { version: 'v1' } }), 'unknown', 'the pool is not known');
  assert.equal(decide({ own: atN }), 'unknown', 'the route leads to another pool now');
  assert.equal(decide({ own: { version: 'v1' } }), 'm');
});

/** A route of streams to pools. */
function routeTo(pathPrefix: string, ...pools: readonly string[]): ForwardRoute {
  const targets = pools.map((service) => ({ service, weight: 1 }));
  return {
    name: pathPrefix,
    host: 'h',
    pathPrefix,
    kind: 'stream',
    targets,
  } as unknown as ForwardRoute;
}

// Guards against the only version of a pool that is named for a stream which another pool has begun.
test('a pool is alone while no path that leads to it has led to another pool within the window', () => {
  const pools = new RoutePools(1_000);
  const isAlone = (): readonly boolean[] => ['m', 'n', 'o'].map((model) => pools.isAlone(model));
  pools.record([routeTo('/a/', 'm'), routeTo('/b/', 'n'), routeTo('/b/c/', 'o')], 0);
  assert.deepEqual(isAlone(), [true, false, false]);
  pools.record([routeTo('/a/', 'n')], 500);
  assert.deepEqual(isAlone(), [false, false, false]);
  pools.record([routeTo('/a/', 'n')], 1_001);
  assert.deepEqual(isAlone(), [true, true, true]);
  const plain = { ...routeTo('/a/', 'm'), kind: 'idempotent' } as const;
  const unused = { ...routeTo('/a/', 'n'), targets: [{ service: 'm', weight: 0 }] };
  pools.record([routeTo('/a/', 'n'), plain, unused], 1_002);
  assert.deepEqual(isAlone(), [true, true, true]);
});

[9, 350].forEach((count) => {
  // Guards against a stream that nobody knows any more after some of the hosts were killed or differ in who is alive.
  test(`of ${count} hosts, those that are asked include some that were told, with a third of them gone`, () => {
    const hosts = Array.from({ length: count }, (_, i) => `h${i}`);
    const ids = Array.from({ length: 500 }, (_, i) => `stream-${i}`);
    const found = ids.filter((id, i) => {
      const gone = new Set(hosts.filter((_, n) => (n + i) % 3 === 0));
      const told = peersToTell(id, hosts);
      const live = hosts.filter((host) => !gone.has(host));
      return peersToAsk(id, live).some((host) => told.includes(host));
    });
    assert.ok(found.length >= ids.length * 0.97, `${found.length} of ${ids.length}`);
  });
});
