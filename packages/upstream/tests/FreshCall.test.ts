import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import { FreshCall } from '@camphorvane/upstream';

const BOUNDS = { headMs: 2_000, silenceMs: 2_000 };

async function withServer(
  answer: (socket: Socket) => void,
  run: (origin: string) => Promise<void>,
): Promise<void> {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await run(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.close();
  }
}

async function readText(origin: string): Promise<{ text: string; error: string | undefined }> {
  const never = new AbortController().signal;
  const call = new FreshCall(origin, new SystemClock(), BOUNDS, never);
  let text = '';
  try {
    const res = await call.send({ method: 'GET', path: '/', headers: {} });
    for await (const chunk of call.read(res)) text += Buffer.from(chunk).toString();
    return { text, error: undefined };
  } catch (thrown) {
    return { text, error: call.errorOf(thrown).type };
  } finally {
    call.close();
  }
}

test('a body without a length that ends with its connection is whole', async () => {
  await withServer(
    (socket) => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole'),
    async (origin) => assert.deepEqual(await readText(origin), { text: 'whole', error: undefined }),
  );
});

// A server crashes while it sends a body without a length, so its connection is reset in the middle.
// Taken for an end, the reset would give a caller half a certificate as if it were all of it.
test('a body without a length whose connection is reset is broken', async () => {
  await withServer(
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    async (origin) => assert.deepEqual(await readText(origin), { text: 'half', error: 'broken' }),
  );
});

// Some servers send a second answer after a complete one. On a connection of its own nobody reads
// it, and the caller gets the first one alone.
// Guards against half an answer that looks whole: the runtime shows a reset that comes together with the
// last bytes as an orderly end.
test('a body without a length is broken also where the reset comes with its last bytes', async () => {
  await withServer(
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nha');
      setTimeout(() => {
        socket.write('lf');
        socket.resetAndDestroy();
      }, 50);
    },
    async (origin) => assert.deepEqual(await readText(origin), { text: 'half', error: 'broken' }),
  );
});

test('bytes after a complete answer belong to nobody', async () => {
  const one = 'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none';
  await withServer(
    (socket) => socket.write(`${one}HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo`),
    async (origin) => assert.deepEqual(await readText(origin), { text: 'one', error: undefined }),
  );
});

// Nobody listens where a server was: not a byte was sent, so the call may go to another server.
test('a connection that is refused has sent nothing', async () => {
  const call = new FreshCall(
    'http://127.0.0.1:1',
    new SystemClock(),
    BOUNDS,
    new AbortController().signal,
  );
  const error = await call.send({ method: 'GET', path: '/', headers: {} }).then(
    () => undefined,
    (thrown: unknown) => call.errorOf(thrown),
  );
  call.close();
  assert.equal(error?.type, 'unreachable');
  assert.equal(error.dispatched, false);
});
