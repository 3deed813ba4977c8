import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import type { PlatformError, ServerRecord } from '@camphorvane/store';
import { StoreContact } from '@camphorvane/store';
import { ServerRoster } from '../../src/coordination/ServerRoster.ts';

function server(id: string, leaving = false): ServerRecord {
  return {
    id,
    service: 's',
    address: '10.0.0.1:1',
    zone: 'a',
    slots: 4,
    leaving,
    role: undefined,
    startingMs: 0,
  };
}

const HEARTBEAT_MS = 1_200;

const AWAY: PlatformError = { type: 'unavailable', message: 'no response' };

/** A roster, and the responses of the store to its host. */
class Host {
  readonly contact = new StoreContact(0, 2_100);

  readonly roster = new ServerRoster(this.contact, HEARTBEAT_MS);

  /** Lists servers, after calls made anew failed for a while. */
  update(listed: readonly ServerRecord[], outageMs: Millis, now: Millis): void {
    if (outageMs > 0) this.fail(now - outageMs, now);
    this.contact.recordResponse(now);
    this.roster.update(listed, now);
  }

  /** The connection is refused from one moment to another. */
  fail(from: Millis, until: Millis): void {
    this.contact.recordResponse(from);
    this.contact.recordFailure(AWAY, from, from);
    this.contact.recordFailure(AWAY, from, until);
  }
}

const ids = ({ roster }: Host, now: number): readonly string[] =>
  roster.list(now).map((one) => one.id);

test('a server that is no longer listed gets no work', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  host.update([server('a')], 0, 100);
  assert.deepEqual(ids(host, 100), ['a']);
});

// Entries that could not be renewed during an outage of the store have expired, although all servers
// are up. Without a grace period every caller would be refused when the store returns.
test('servers that are missing after an outage are used for two more seconds', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  host.update([], 4_000, 10_000);
  assert.deepEqual([...ids(host, 11_900)].sort(), ['a', 'b']);
  host.update([server('a')], 0, 11_950);
  assert.deepEqual([...ids(host, 12_000)].sort(), ['a', 'b']);
  assert.deepEqual(ids(host, 12_400), ['a']);
});

// A server announced that it leaves before the outage of the store. Requests sent to it afterwards
// would fail.
test('a leaving server that is missing after an outage gets no work', () => {
  const host = new Host();
  host.update([server('a', true)], 0, 0);
  host.update([], 4_000, 10_000);
  assert.deepEqual(ids(host, 10_100), []);
});

test('an outage too short for an entry to expire gives no grace period', () => {
  const host = new Host();
  host.update([server('a')], 0, 0);
  host.update([], 300, 1_000);
  assert.deepEqual(ids(host, 1_000), []);
});

test('the end of the grace period is known', () => {
  const host = new Host();
  host.update([server('a')], 0, 0);
  assert.equal(host.roster.getGraceEnd(0), undefined);
  host.update([], 4_000, 10_000);
  const change = host.roster.getGraceEnd(10_000);
  assert.ok(change !== undefined && change > 12_000 && change < 12_500);
});

// A server is listed when the store returns and leaves a moment later. Its entry is removed within the
// grace period for expired entries, which must not apply to it: it would get requests for two seconds.
test('a server that leaves after the return of the store gets no work', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  host.update([server('a'), server('b')], 8_900, 10_000);
  host.update([server('a')], 0, 10_250);
  assert.deepEqual(ids(host, 10_300), ['a']);
});

test('a server that was missing after an outage, came back and left gets no work', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  host.update([server('a')], 4_000, 10_000);
  host.update([server('a'), server('b')], 0, 10_500);
  host.update([server('a')], 0, 11_000);
  assert.deepEqual(ids(host, 11_100), ['a']);
});

const REFUSED: PlatformError = { type: 'unavailable', message: 'status 503', hasResponded: true };

/** The store is silent on an open connection, then refuses one call made anew. */
function loseConnection(host: Host, at: Millis): void {
  host.contact.recordResponse(at);
  host.contact.recordFailure(AWAY, at, at + 2_500);
  host.contact.recordFailure(REFUSED, at + 2_500, at + 2_510);
}

// Guards against requests to a server that was removed while a connection was silent, where the next call is refused.
test('a server that is missing after a silent connection and a refused call gets no work', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  loseConnection(host, 1_000);
  host.update([server('b')], 0, 3_700);
  assert.deepEqual(ids(host, 3_700), ['b']);
});

// Guards against a host without any server where it can't tell a silent connection from an outage.
test('a pool that is left without any server after a silent connection keeps them', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  loseConnection(host, 1_000);
  host.update([], 0, 3_700);
  assert.deepEqual(ids(host, 5_600), ['a', 'b']);
  host.update([server('b')], 0, 5_700);
  assert.deepEqual(ids(host, 5_700), ['b']);
});

// Guards against a host that was cut off from the store and uses a server which its peers know to be removed.
test('a server that went while the store served a peer gets no work', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  host.update([server('a')], 4_000, 10_000);
  assert.deepEqual(ids(host, 10_050), ['a', 'b']);
  host.contact.receive('peer', { answeredMsAgo: 20, steadyMs: 60_000 }, 10_100);
  assert.deepEqual(ids(host, 10_100), ['a']);
});

// Guards against hosts without servers, where a peer that had no contact either reports what it reads afterwards.
test('a peer that lost the store as well takes no server away', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  host.update([server('a')], 4_000, 10_000);
  host.contact.receive('peer', { answeredMsAgo: 20, steadyMs: 100 }, 10_100);
  assert.deepEqual(ids(host, 10_100), ['a', 'b']);
});

// Guards against a second outage that starts the grace period anew, or ends it before servers could write.
test('a second outage puts the end of the grace period off by its length', () => {
  const host = new Host();
  host.update([server('a')], 0, 0);
  host.update([], 4_000, 10_000);
  host.fail(10_500, 12_500);
  host.update([], 0, 12_500);
  assert.deepEqual(ids(host, 14_200), ['a']);
  assert.deepEqual(ids(host, 14_400), []);
});

// Guards against a removed server that is used since the host learned late that the store is back.
test('the grace period counts from the first response to any call', () => {
  const host = new Host();
  host.update([server('a'), server('b')], 0, 0);
  host.fail(6_000, 10_000);
  host.contact.recordResponse(10_000);
  host.update([server('a')], 0, 11_500);
  assert.deepEqual(ids(host, 12_200), ['a', 'b']);
  assert.deepEqual(ids(host, 12_400), ['a']);
});
