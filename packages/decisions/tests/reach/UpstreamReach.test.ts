import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UpstreamReach } from '../../src/index.ts';

const IDS = ['u1', 'u2', 'u3', 'u4'];

function reachOf(ids: readonly string[] = IDS): UpstreamReach {
  const reach = new UpstreamReach();
  reach.setGroups([{ service: 's', role: 'plain', upstreams: ids }]);
  return reach;
}

function fail(reach: UpstreamReach, ids: readonly string[], at: number): void {
  ids.forEach((id) => reach.recordFailure(id, at));
}

// Guards against a host that takes a crashed upstream, or one that is silent for a second, for lost links.
test('one or two upstreams that are out of reach show nothing of the links', () => {
  const reach = reachOf();
  fail(reach, ['u1', 'u2', 'u2'], 10);
  assert.equal(reach.getUnreached('s'), undefined);
  assert.equal(reach.isDoubtful('s'), true);
});

test('a service is out of reach once three upstreams are, with none reached in between', () => {
  const reach = reachOf();
  fail(reach, ['u1', 'u2'], 10);
  reach.recordContact('u1', 11);
  reach.recordContact('u2', 11);
  fail(reach, ['u1', 'u2'], 12);
  assert.equal(reach.getUnreached('s'), undefined);
  fail(reach, ['u3'], 14);
  assert.deepEqual(reach.getUnreached('s'), { since: 12, failed: 3, listed: 4 });
  assert.deepEqual(reach.getReport(20).unreached, ['s']);
});

// Guards against hosts that take upstreams which crash one after the other for lost links, each time that these are tried again.
test('upstreams that were down while others were reached show nothing of the links until they are back', () => {
  const reach = reachOf();
  fail(reach, ['u1'], 10);
  reach.recordContact('u4', 11);
  fail(reach, ['u1', 'u2'], 12);
  reach.recordContact('u4', 13);
  fail(reach, ['u1', 'u2', 'u3'], 14);
  assert.equal(reach.getUnreached('s'), undefined);
  assert.deepEqual(reach.getProbeTargets('s', 1), ['u4']);
  reach.recordContact('u4', 15);
  fail(reach, ['u1', 'u2', 'u3'], 16);
  assert.equal(reach.getUnreached('s'), undefined);
  fail(reach, ['u4'], 17);
  assert.deepEqual(reach.getUnreached('s'), { since: 16, failed: 4, listed: 4 });
  ['u1', 'u2', 'u3'].forEach((id) => reach.recordContact(id, 18));
  fail(reach, ['u1', 'u2', 'u3'], 19);
  assert.equal(reach.getUnreached('s')?.failed, 3);
});

test('a service of fewer upstreams is out of reach once all of them are', () => {
  const reach = reachOf(['u1', 'u2']);
  fail(reach, ['u1'], 10);
  assert.equal(reach.getUnreached('s'), undefined);
  fail(reach, ['u2'], 11);
  assert.equal(reach.getUnreached('s')?.failed, 2);
});

// Guards against a host that goes on passing requests on after it has its links back.
test('one contact brings a service back at once', () => {
  const reach = reachOf();
  fail(reach, IDS, 10);
  reach.recordContact('u4', 11);
  assert.equal(reach.getUnreached('s'), undefined);
  assert.equal(reach.isDoubtful('s'), false);
});

// Guards against answers on connections that live on while new ones are refused.
test('a contact that was attempted before the links were lost changes nothing', () => {
  const reach = reachOf();
  fail(reach, IDS, 10);
  reach.recordContact('u1', 9);
  assert.notEqual(reach.getUnreached('s'), undefined);
});

// Guards against a failure that is noticed late and outweighs a connection made meanwhile.
test('a failure that was attempted before a contact changes nothing', () => {
  const reach = reachOf();
  reach.recordContact('u1', 20);
  fail(reach, IDS, 10);
  assert.equal(reach.isDoubtful('s'), false);
});

// Guards against prefills for nothing while decode engines are out of reach.
test('a pool is out of reach where all engines of one role are', () => {
  const reach = new UpstreamReach();
  reach.setGroups([
    { service: 'm', role: 'prefill', upstreams: ['p1', 'p2'] },
    { service: 'm', role: 'decode', upstreams: ['d1', 'd2'] },
  ]);
  reach.recordContact('p1', 30);
  fail(reach, ['d1', 'd2'], 20);
  assert.equal(reach.getUnreached('m')?.since, 20);
  assert.deepEqual(reach.getReport(40).contacts, []);
  assert.deepEqual(reach.getProbeTargets('m', 3), ['d1', 'd2']);
});

// Guards against state that grows with upstreams that come and go.
test('what is known of upstreams that are not listed any more is dropped', () => {
  const reach = reachOf();
  fail(reach, ['u1', 'u2', 'u3'], 10);
  reach.setGroups([{ service: 's', role: 'plain', upstreams: ['u3', 'u5', 'u6'] }]);
  assert.equal(reach.getUnreached('s'), undefined);
  reach.recordFailure('u1', 11);
  assert.equal(reach.getUnreached('s'), undefined);
  reach.setGroups([]);
  assert.equal(reach.isDoubtful('s'), false);
});

test('probes go round all upstreams', () => {
  const reach = reachOf();
  fail(reach, ['u1'], 10);
  assert.deepEqual(reach.getProbeTargets('s', 2), ['u2', 'u3']);
  fail(reach, ['u2', 'u3'], 11);
  assert.deepEqual(reach.getProbeTargets('s', 2), ['u4', 'u1']);
});
