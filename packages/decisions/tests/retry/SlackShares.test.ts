import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import type { RetryReport } from '@camphorvane/decisions';
import { SlackShares } from '@camphorvane/decisions';

const WINDOW_MS: Millis = 10_000;

const SLACK = 60;

function sharesOf(self: string, peers: readonly string[], startedAt: Millis): SlackShares {
  const shares = new SlackShares({ self, windowMs: WINDOW_MS, startedAt });
  shares.setPeers(peers, startedAt);
  return shares;
}

const report = (used = 0, isNew = false): RetryReport => ({
  ...{ isNew, ended: [] },
  used: used > 0 ? [['s', used]] : [],
});

const sharedBy = (shares: SlackShares, now: Millis): number =>
  shares.getShare('s', SLACK, now).retries;

test('hosts that have run for a window have equal parts', () => {
  assert.equal(sharedBy(sharesOf('a', ['b', 'c'], 0), WINDOW_MS), 20);
});

// Guards against a process that takes for unused what nobody has told it of.
test('a process that has just started has no part until all peers have reported', () => {
  const shares = sharesOf('a', ['b', 'c'], 0);
  assert.equal(sharedBy(shares, 500), 0);
  shares.recordEarlierProcess('before', 0);
  shares.receive({ host: 'b', incarnation: 'b1', leaving: false, retries: report() }, 1_500);
  assert.equal(Math.round(sharedBy(shares, 1_600)), 7);
  shares.receive({ host: 'c', incarnation: 'c1', leaving: false, retries: report(10) }, 1_600);
  assert.equal(sharedBy(shares, 1_700), 10);
});

test('what a process had reported before it left counts in place of its whole part', () => {
  const shares = sharesOf('b', ['a', 'c'], 0);
  shares.receive({ host: 'a', incarnation: 'a1', leaving: true, retries: report(3) }, 20_000);
  shares.receive(
    { host: 'a', incarnation: 'a2', leaving: false, retries: report(0, true) },
    21_000,
  );
  assert.equal(sharedBy(shares, 21_100), (SLACK - 3) / 3);
  assert.equal(sharedBy(shares, 20_000 + WINDOW_MS), SLACK / 3);
});

// Guards against a host that is killed again and again and takes the slack of all others with it.
test('a host that is lost every second leaves most of the slack to the others', () => {
  const shares = sharesOf('b', ['a', 'c', 'd', 'e', 'f'], 0);
  Array.from({ length: 10 }, (_, n) => n).forEach((n) => {
    const now = 20_000 + n * 1_000;
    shares.receive(
      { host: 'a', incarnation: `a${n}`, leaving: false, retries: report(1, n > 0) },
      now,
    );
  });
  assert.ok(sharedBy(shares, 29_100) > SLACK / 6 / 6);
});

test('a host that is gone keeps its part for a window', () => {
  const shares = sharesOf('a', ['b', 'c'], 0);
  shares.setPeers(['b'], 20_000);
  assert.equal(sharedBy(shares, 20_100), SLACK / 3);
  assert.equal(sharedBy(shares, 20_000 + WINDOW_MS), SLACK / 2);
});

// Guards against late messages of an ended process that are taken for those of a new one.
test('a message of a process that has ended changes nothing', () => {
  const shares = sharesOf('b', ['a'], 0);
  const send = (incarnation: string, now: Millis): void =>
    shares.receive({ host: 'a', incarnation, leaving: false, retries: report() }, now);
  send('a1', 20_000);
  send('a2', 20_500);
  send('a1', 20_600);
  assert.equal(shares.getEnded(20_700).lost, 1);
});

// Guards against a host that takes the whole slack while the store does not tell it who shares it.
test('a host that has read no records has no part, however long it runs', () => {
  const shares = new SlackShares({ self: 'a', windowMs: WINDOW_MS, startedAt: 0 });
  assert.equal(sharedBy(shares, 3 * WINDOW_MS), 0);
});

test('a host that stands still for a while has no more than its part afterwards', () => {
  const shares = sharesOf('a', ['b', 'c'], 0);
  assert.equal(sharedBy(shares, 20_000), 20);
  assert.equal(sharedBy(shares, 28_000), 20);
});
