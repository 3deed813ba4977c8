import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PlatformError } from '@camphorvane/store';
import { StoreContact } from '@camphorvane/store';

const CLOSED: PlatformError = { type: 'unavailable', message: 'closed' };

/** A host whose calls failed from one second to another. */
function failing(from: number, until: number): StoreContact {
  const contact = new StoreContact(0, 2_100);
  contact.recordResponse(from * 1_000);
  contact.recordFailure(CLOSED, from * 1_000, from * 1_000);
  contact.recordFailure(CLOSED, from * 1_000, from * 1_000 + 100);
  contact.recordResponse(until * 1_000);
  return contact;
}

// Guards against several connections that are lost at once and pass for an outage of the store.
test('calls that were made before the first loss show no outage', () => {
  const contact = new StoreContact(0, 2_100);
  contact.recordResponse(1_000);
  contact.recordFailure(CLOSED, 500, 3_000);
  contact.recordFailure(CLOSED, 900, 3_001);
  contact.recordResponse(3_010);
  assert.equal(contact.getOutage({ from: 0, until: 4_000 }, 4_000), undefined);
});

test('a failed call that was made after a loss shows an outage since the loss', () => {
  const contact = new StoreContact(0, 2_100);
  contact.recordResponse(1_000);
  contact.recordFailure(CLOSED, 1_200, 3_500);
  contact.recordFailure(CLOSED, 3_600, 4_800);
  contact.recordResponse(5_000);
  assert.deepEqual(contact.getOutage({ from: 0, until: 6_000 }, 6_000), {
    ...{ possibleMs: 4_000, shownMs: 1_500, returnedAt: 5_000 },
  });
});

test('an outage counts only for lists that were read around it', () => {
  const contact = failing(10, 14);
  assert.equal(contact.getOutage({ from: 14_000, until: 15_000 }, 15_000), undefined);
  assert.equal(contact.getOutage({ from: 5_000, until: 10_000 }, 15_000), undefined);
  assert.equal(contact.getOutage({ from: 9_000, until: 15_000 }, 15_000)?.shownMs, 4_000);
});

// Guards against a host that takes the loss of its own link for an outage of the store.
test('a response to a peer shortens the outage, and its last report holds', () => {
  const contact = failing(10, 14);
  contact.receive('peer', { answeredMsAgo: 2_000, steadyMs: 3_000 }, 14_000);
  assert.deepEqual(contact.getOutage({ from: 0, until: 14_000 }, 14_000), {
    ...{ possibleMs: 2_000, shownMs: 2_000, returnedAt: 14_000 },
  });
  contact.receive('peer', { answeredMsAgo: 1_000, steadyMs: 1_000 }, 14_000);
  assert.equal(contact.getOutage({ from: 0, until: 14_000 }, 14_000)?.possibleMs, 2_000);
  contact.receive('peer', { answeredMsAgo: 0, steadyMs: 9_000 }, 14_000);
  assert.equal(contact.getOutage({ from: 0, until: 14_000 }, 14_000), undefined);
});

// Guards against a polling host that vouches for a time in which it made no call.
test('a host reports no longer steady contact than its responses show', () => {
  const contact = new StoreContact(0, 2_100);
  assert.equal(contact.getReport(500), undefined);
  contact.recordResponse(1_000);
  contact.recordResponse(2_500);
  assert.deepEqual(contact.getReport(3_000), { answeredMsAgo: 500, steadyMs: 1_500 });
  contact.recordFailure(CLOSED, 2_500, 2_600);
  contact.recordFailure(CLOSED, 2_700, 2_800);
  contact.recordResponse(3_000);
  assert.deepEqual(contact.getReport(3_000), { answeredMsAgo: 0, steadyMs: 2_000 });
  contact.recordResponse(12_500);
  assert.deepEqual(contact.getReport(12_600), { answeredMsAgo: 100, steadyMs: 0 });
});

test('listeners learn of the first loss since a response', () => {
  const contact = new StoreContact(0, 2_100);
  let losses = 0;
  contact.onConnectionLost(() => {
    losses += 1;
  });
  contact.recordFailure({ type: 'over_budget', retryAfterMs: 1 }, 0, 10);
  contact.recordFailure(CLOSED, 0, 100);
  contact.recordFailure(CLOSED, 100, 200);
  assert.equal(losses, 1);
});
