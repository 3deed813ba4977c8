import assert from 'node:assert/strict';
import { test } from 'node:test';
import { concurrencyShare } from '@camphorvane/decisions';

const SERVICE = { concurrency: 18, hosts: 6, silentHosts: 0 };

test('a host with many calls gets capacity that the others do not use', () => {
  assert.equal(concurrencyShare({ ...SERVICE, ownCalls: 9, peerCalls: 3 }), 10);
});

test('under overload the capacity is divided in proportion to the calls', () => {
  assert.equal(concurrencyShare({ ...SERVICE, ownCalls: 24, peerCalls: 12 }), 12);
});

// A host that is partitioned from all others must not take the capacity that they may be using.
test('a host that hears no other host keeps to its equal share', () => {
  [0, 2, 30].forEach((ownCalls) =>
    assert.equal(
      concurrencyShare({ ...SERVICE, ownCalls, peerCalls: 0, silentHosts: 5 }),
      ownCalls > 3 ? 3 : 3,
    ),
  );
});

test('the shares of hosts that hear each other do not exceed the capacity', () => {
  const calls = [14, 9, 5, 2, 0, 0];
  const total = calls.reduce((sum, own) => sum + own, 0);
  const shares = calls.map((ownCalls) =>
    concurrencyShare({ ...SERVICE, ownCalls, peerCalls: total - ownCalls }),
  );
  assert.ok(
    shares.reduce((sum, share) => sum + share, 0) <= SERVICE.concurrency + 1e-9,
    shares.join(),
  );
});
