import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import type { StreamOrigin } from '@camphorvane/decisions';
import { decodeHint, HintSocket, isDigest } from '@camphorvane/peer/hints';
import {
  decodeOrigins,
  encodeOrigins,
  MAX_ORIGINS_PER_DATAGRAM,
  PeerOriginLink,
} from '@camphorvane/peer/origins';

const NO_DATAGRAMS = { sendDatagram: () => undefined, onOrigins: () => undefined };

test('origins survive their datagram, and other datagrams hold none', () => {
  const origins = [
    { id: 'a', version: 'v1' },
    { id: 'b "quoted"', version: 'v1.1' },
    { id: 'c', version: 'v1', pool: 'm' },
  ];
  assert.deepEqual(decodeOrigins(encodeOrigins(origins)), origins);
  const malformed = ['origins ', 'origins {}', 'origins [["a"]]', 'origins [["a",1]]', '["h"]'];
  malformed.forEach((text) => assert.equal(decodeOrigins(Buffer.from(text)), undefined, text));
});

// Guards against one long id of a caller that has peers drop what they are told of other streams.
test('an origin whose id is too long for peers is left out of its datagram', () => {
  const sound = { id: 'a', version: 'v1', pool: 'm' };
  const long = { ...sound, id: 'x'.repeat(128) };
  assert.deepEqual(decodeOrigins(encodeOrigins([long, sound])), [sound]);
});

// Guards against hosts of an earlier program that can't read the rows with pools, and forget the versions beside them.
test('a datagram with pools has rows of two texts only', () => {
  const text = encodeOrigins([{ id: 'a', version: 'v1', pool: 'm' }]).toString();
  assert.equal(text, 'origins [["a","v1"],[" pool a","m"]]');
});

// Guards against hosts of an earlier program that take a datagram with origins for a hint.
test('a datagram with origins holds no hint and no digest', () => {
  const bytes = encodeOrigins([{ id: 'a', version: 'v1' }]);
  assert.equal(decodeHint(bytes), undefined);
  assert.equal(isDigest(bytes), false);
});

test('many origins are told in several datagrams, over sockets', async () => {
  const [from, to] = [new HintSocket(), new HintSocket()];
  const told: StreamOrigin[] = [];
  const count = MAX_ORIGINS_PER_DATAGRAM * 2 + 3;
  const done = new Promise<void>((resolve) => {
    to.onOrigins((origins) => {
      told.push(...origins);
      if (told.length === count) resolve();
    });
  });
  await from.listen('127.0.0.1', 0);
  const port = 40_000 + (process.pid % 20_000);
  await to.listen('127.0.0.1', port);
  const link = new PeerOriginLink(new SystemClock(), from, () => true);
  const origins = Array.from({ length: count }, (_, i) => ({ id: `s${i}`, version: 'v1' }));
  link.tell(origins, [`127.0.0.1:${port}`]);
  await done;
  assert.deepEqual(told, origins);
  from.close();
  to.close();
});

test('a peer answers what it knows, and answers nobody outside of the fleet', async () => {
  let isPeer = true;
  const asked = new PeerOriginLink(new SystemClock(), NO_DATAGRAMS, () => isPeer);
  asked.setSource((id, pool) => ({ version: `version of ${id}`, pool, isTold: true }));
  const server = createServer((req, res) => {
    if (!asked.handle(req, res)) res.writeHead(404).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const link = new PeerOriginLink(new SystemClock(), NO_DATAGRAMS, () => true);
  const answer = { version: 'version of a/b', pool: 'm', isTold: true };
  assert.deepEqual(await link.ask(address, 'a/b', 'm'), answer);
  isPeer = false;
  assert.equal(await link.ask(address, 'a', 'm'), undefined);
  server.close();
  server.closeAllConnections();
  assert.equal(await link.ask(address, 'a', 'm'), undefined, 'a peer that is down');
});
