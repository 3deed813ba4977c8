import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import { HttpPlainServer } from '@camphorvane/upstream';

/** Calls a server; returns the type of the error, or the length of the body. */
async function callServer(respond: (socket: Socket) => void): Promise<string | number> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = new HttpPlainServer('s', url, new SystemClock());
  const reply = await client.call(
    {
      ...{ attempt: 'a', method: 'GET', path: '/', headers: {}, body: new Uint8Array() },
      ...{ class: 'lookup', timeoutMs: 3_000, team: 't' },
    },
    new AbortController().signal,
  );
  await client.close();
  server.close();
  return reply.isErr() ? reply.error.type : reply.value.body.length;
}

// Guards against a response without a length that passes for a whole one where its server resets the connection.
test('a reset does not end a response without a length', async () => {
  const outcome = await callServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of the');
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  assert.equal(outcome, 'broken');
});

const FRAMINGS = ['x-none: 1', 'connection: close', 'transfer-encoding: identity'];

const SIZES = [0, 10, 50_000, 1_000_000];

FRAMINGS.forEach((header) =>
  SIZES.forEach((size) => {
    const start = `HTTP/1.1 200 OK\r\n${header}\r\n\r\n${'x'.repeat(size)}`;

    // Guards against a reset that passes for the end because it arrives with the last bytes, or while reading pauses.
    test(`a reset with the last bytes ends no response of ${size} bytes with ${header}`, async () => {
      const outcome = await callServer((socket) => {
        socket.write(start);
        setTimeout(() => {
          socket.write('half');
          socket.resetAndDestroy();
        }, 30);
      });
      assert.equal(outcome, 'broken');
    });

    // Guards against a whole response that is lost as a broken one.
    test(`an orderly close ends a response of ${size} bytes with ${header}`, async () => {
      assert.equal(await callServer((socket) => socket.end(start)), size);
    });
  }),
);

// Guards against a reset after the end of a response that is held against it.
test('a reset after the end of a response with a length changes nothing', async () => {
  const outcome = await callServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole');
    socket.resetAndDestroy();
  });
  assert.equal(outcome, 5);
});

// Guards against an exception that nothing catches, after which a host leaves, where a server accepts no connection.
test('a call to a server that is down fails as unreachable', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  const client = new HttpPlainServer('s', `http://127.0.0.1:${port}`, new SystemClock());
  const reply = await client.call(
    {
      ...{ attempt: 'a', method: 'GET', path: '/', headers: {}, body: new Uint8Array() },
      ...{ class: 'lookup', timeoutMs: 1_000, team: 't' },
    },
    new AbortController().signal,
  );
  await client.close();
  assert.equal(reply.isErr() && reply.error.type, 'unreachable');
});
