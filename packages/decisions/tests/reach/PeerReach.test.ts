import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerReach, summarizeReach } from '../../src/index.ts';
import type { ReachReport } from '../../src/index.ts';

const REACHED: ReachReport = { contacts: [{ service: 's', ageMs: 0 }], unreached: [] };
const UNREACHED: ReachReport = { contacts: [], unreached: ['s'] };

test('a host is cut off once others reach a service that it does not', () => {
  const reach = new PeerReach();
  reach.receive('a', UNREACHED, 2_000, 1_000);
  assert.equal(reach.isCutOff('a', 1_000), false);
  reach.receive('b', REACHED, 2_000, 1_100);
  assert.equal(reach.isCutOff('a', 1_100), true);
  assert.equal(reach.isCutOff('b', 1_100), false);
  assert.deepEqual(
    ['a', 'b'].map((host) => reach.canServe(host, 's', 1_100)),
    [false, true],
  );
});

// Guards against hosts that are left out of the directory since upstreams are down for all.
test('a service that nobody has reached since shows no host as cut off', () => {
  const reach = new PeerReach();
  reach.receive('b', REACHED, 9_000, 900);
  reach.receive('a', UNREACHED, 9_000, 1_000);
  reach.receive('b', UNREACHED, 9_000, 1_100);
  assert.equal(reach.isCutOff('a', 1_200), false);
  assert.equal(reach.isCutOff('b', 1_200), false);
});

// Guards against requests that go to hosts of an earlier version, which pass nothing on and serve nothing.
test('a host that reports no reach is not chosen', () => {
  const reach = new PeerReach();
  reach.receive('old', undefined, 9_000, 1_000);
  assert.equal(reach.canServe('old', 's', 1_000), false);
  reach.receiveSummary(undefined, 9_000, 1_000);
  assert.equal(reach.canServe('any', 's', 1_000), false);
  const summary = summarizeReach([
    ['old', undefined],
    ['a', UNREACHED],
    ['b', REACHED],
  ]);
  reach.receiveSummary(summary, 9_000, 1_000);
  assert.deepEqual(
    ['old', 'a', 'b'].map((host) => reach.canServe(host, 's', 1_000)),
    [false, false, true],
  );
});

test('reports expire, and a summary replaces those before it', () => {
  const reach = new PeerReach();
  reach.receive('a', UNREACHED, 2_000, 1_000);
  reach.receive('b', REACHED, 9_000, 1_100);
  assert.equal(reach.isCutOff('a', 2_001), false);
  reach.receive('a', UNREACHED, 9_000, 2_000);
  reach.receiveSummary(summarizeReach([['b', REACHED]]), 9_000, 2_100);
  assert.equal(reach.isCutOff('a', 2_100), false);
  assert.equal(reach.canServe('a', 's', 9_001), false);
});

test('hosts that reach the same services share a row of a summary', () => {
  const { unreached, contacts } = summarizeReach([
    ['a', UNREACHED],
    ['b', UNREACHED],
    ['c', { contacts: [{ service: 's', ageMs: 40 }], unreached: ['x'] }],
    ['d', REACHED],
  ]);
  assert.deepEqual(unreached, [
    { services: ['s'], hosts: ['a', 'b'] },
    { services: ['x'], hosts: ['c'] },
  ]);
  assert.deepEqual(contacts, [{ service: 's', ageMs: 0 }]);
});
