import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerReach } from '@camphorvane/decisions';
import { UpstreamSharers } from '../../src/coordination/UpstreamSharers.ts';

const SERVING = ['a', 'b', 'c'];

function lose(reach: PeerReach, host: string, now: number): void {
  reach.receive(host, { contacts: [], unreached: ['s'] }, now + 1_000, now);
  reach.receive('b', { contacts: [{ service: 's', ageMs: 0 }], unreached: [] }, now + 1_000, now);
}

// Guards against permits and quotas that stay with hosts which can't use them, while the others lack them.
test('hosts that are cut off leave their part to the others until they have their links back', () => {
  const reach = new PeerReach();
  const sharers = new UpstreamSharers('b', () => SERVING, reach);
  assert.equal(sharers.get(0), SERVING);
  lose(reach, 'a', 10);
  assert.deepEqual(sharers.get(10), ['b', 'c']);
  assert.equal(sharers.get(200), sharers.get(10));
  reach.receive('a', { contacts: [], unreached: [] }, 2_000, 300);
  assert.equal(sharers.get(300), SERVING);
});

// Guards against a host that drops itself from the sharers by a message that is older than its return.
test('a host always counts itself', () => {
  const reach = new PeerReach();
  lose(reach, 'a', 10);
  assert.deepEqual(new UpstreamSharers('a', () => SERVING, reach).get(10), SERVING);
});
