import assert from 'node:assert/strict';
import { test } from 'node:test';
import { callerAddresses } from '../../src/host/callerAddresses.ts';
import type { FleetMember } from '../../src/host/ports.ts';

const memberOf = (host: string, zone: string, more: Partial<FleetMember> = {}): FleetMember => ({
  ...{ host, zone, callerAddress: host, peerAddress: host, leaving: false, serving: true },
  cutOff: false,
  ...more,
});

test('lists all hosts, same zone first, while none is on standby', () => {
  const hosts = [memberOf('a1', 'a'), memberOf('b1', 'b'), memberOf('a2', 'a')];
  assert.deepEqual(callerAddresses(hosts, 'b'), ['b1', 'a1', 'a2']);
});

// With one list for all zones, the callers of all zones would connect to the same few hosts.
test('lists only serving hosts of the same zone while others are on standby', () => {
  const zone = (name: string): readonly FleetMember[] => [
    ...[1, 2, 3].map((i) => memberOf(`${name}${i}`, name)),
    ...[4, 5, 6].map((i) => memberOf(`${name}${i}`, name, { serving: false })),
  ];
  const hosts = ['a', 'b', 'c'].flatMap(zone);
  assert.deepEqual(callerAddresses(hosts, 'b'), ['b1', 'b2', 'b3']);
  assert.equal(callerAddresses(hosts, 'elsewhere').length, 9);
});

test('lists serving hosts of other zones when the zone has none left', () => {
  const hosts = [
    memberOf('a1', 'a', { leaving: true }),
    memberOf('a2', 'a', { serving: false }),
    ...['b1', 'b2'].map((host) => memberOf(host, 'b')),
  ];
  assert.deepEqual(callerAddresses(hosts, 'a'), ['b1', 'b2']);
});

test('lists standby hosts when no host is serving', () => {
  const hosts = ['a1', 'a2'].map((host) => memberOf(host, 'a', { serving: false }));
  assert.deepEqual(callerAddresses(hosts, 'a'), ['a1', 'a2']);
});

// Guards against callers that are sent to hosts which have lost their links to upstreams.
test('leaves out hosts that are cut off from upstreams, in favour of other zones', () => {
  const hosts = [
    memberOf('a1', 'a', { cutOff: true }),
    memberOf('a2', 'a', { cutOff: true }),
    memberOf('b1', 'b'),
  ];
  assert.deepEqual(callerAddresses(hosts, 'a'), ['b1']);
});

// Guards against an empty list where no host reaches the upstreams.
test('lists hosts that are cut off where all are', () => {
  const hosts = ['a1', 'a2'].map((host) => memberOf(host, 'a', { cutOff: true }));
  assert.deepEqual(callerAddresses(hosts, 'a'), ['a1', 'a2']);
});
