import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SoftwareVersion } from '@camphorvane/core';
import {
  bindingTo,
  decideTakeUp,
  FREE_STREAM,
  MAX_ORIGINS,
  mayRunOn,
  ORIGIN_TTL_MS,
  peersToAsk,
  peersToTell,
  StreamOrigins,
  VersionHistory,
} from '@camphorvane/decisions';

const known = (name: string): SoftwareVersion => ({ type: 'known', name });
const UNKNOWN: SoftwareVersion = { type: 'unknown' };

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
  const nothing = { own: undefined, peers: [], soleVersion: undefined, hasVersions: true };
  assert.equal(decideTakeUp(nothing).type, 'unknown');
  assert.equal(decideTakeUp({ ...nothing, peers: ['v1', 'v2'] }).type, 'unknown');
  const bound = { type: 'bound', version: 'v1' };
  const decisions = [
    decideTakeUp({ ...nothing, own: { version: 'v1', toldAt: 0 }, peers: ['v2'] }),
    decideTakeUp({ ...nothing, peers: ['v1', 'v1'], soleVersion: 'v2' }),
    decideTakeUp({ ...nothing, soleVersion: 'v1' }),
  ];
  assert.deepEqual(
    decisions.map((one) => (one.type === 'go_on' ? [one.source, one.binding] : one.type)),
    [
      ['own', bound],
      ['peer', bound],
      ['sole_version', bound],
    ],
  );
  const free = decideTakeUp({ ...nothing, hasVersions: false });
  assert.deepEqual(free, { type: 'go_on', binding: FREE_STREAM, source: 'no_versions' });
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
