import assert from 'node:assert/strict';
import { test } from 'node:test';
import { callerAddresses } from '../../src/host/callerAddresses.ts';
import type { FleetMember } from '../../src/host/ports.ts';

const mate = (host: string, zone: string, more: Partial<FleetMember> = {}): FleetMember => ({
  ...{ host, zone, callerAddress: host, peerAddress: host, leaving: false, serving: true },
  ...more,
});

test('where all hosts serve, all are named, those of the zone of the caller first', () => {
  const hosts = [mate('a1', 'a'), mate('b1', 'b'), mate('a2', 'a')];
  assert.deepEqual(callerAddresses(hosts, 'b'), ['b1', 'a1', 'a2']);
});

// Guards against callers of all zones who are sent to the same few hosts of one zone.
test('where hosts stand by, callers are sent to the serving hosts of their own zone', () => {
  const zone = (name: string): readonly FleetMember[] => [
    ...[1, 2, 3].map((i) => mate(`${name}${i}`, name)),
    ...[4, 5, 6].map((i) => mate(`${name}${i}`, name, { serving: false })),
  ];
  const hosts = ['a', 'b', 'c'].flatMap(zone);
  assert.deepEqual(callerAddresses(hosts, 'b'), ['b1', 'b2', 'b3']);
  assert.equal(callerAddresses(hosts, 'elsewhere').length, 9);
});

test('a zone whose serving hosts are gone gets those of other zones', () => {
  const hosts = [
    mate('a1', 'a', { leaving: true }),
    mate('a2', 'a', { serving: false }),
    ...['b1', 'b2'].map((host) => mate(host, 'b')),
  ];
  assert.deepEqual(callerAddresses(hosts, 'a'), ['b1', 'b2']);
});

test('hosts that stand by are named where nobody serves', () => {
  const hosts = ['a1', 'a2'].map((host) => mate(host, 'a', { serving: false }));
  assert.deepEqual(callerAddresses(hosts, 'a'), ['a1', 'a2']);
});
