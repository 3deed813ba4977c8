import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { test } from 'node:test';
import { sleep, SystemClock } from '@camphorvane/core';
import type { ConnectAttempt } from '@camphorvane/upstream';
import { DedicatedConnection } from '@camphorvane/upstream';
import { ok } from 'neverthrow';

const TIMEOUTS = { headersTimeoutMs: 2_000, bodyTimeoutMs: 2_000 };

async function withServer(
  respond: (socket: Socket) => void,
  run: (origin: string) => Promise<void>,
): Promise<void> {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
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

async function readText(
  origin: string,
  readAheadBytes?: number,
  pauseMs = 0,
): Promise<{ text: string; error: string | undefined }> {
  const never = new AbortController().signal;
  const bounds = { ...TIMEOUTS, readAheadBytes };
  const connection = new DedicatedConnection(origin, new SystemClock(), bounds, never);
  let text = '';
  try {
    const res = await connection.send({ method: 'GET', path: '/', headers: {} });
    for await (const chunk of connection.read(res)) {
      text += Buffer.from(chunk).toString();
      await sleep(new SystemClock(), pauseMs);
    }
    return { text, error: undefined };
  } catch (thrown) {
    return { text, error: connection.classifyError(thrown).type };
  } finally {
    connection.close();
  }
}

test('a body without a length is complete when its connection is closed in order', async () => {
  await withServer(
    (socket) => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole'),
    async (origin) => assert.deepEqual(await readText(origin), { text: 'whole', error: undefined }),
  );
});

// A server that crashes while sending a body without a length resets the connection. Read as the end of
// the body, the reset would deliver half a certificate as complete.
test('a body without a length fails as broken when its connection is reset', async () => {
  await withServer(
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    async (origin) => assert.deepEqual(await readText(origin), { text: 'half', error: 'broken' }),
  );
});

// Node reports a reset that arrives with the last bytes as an orderly end, so that a truncated body would
// pass for a complete one.
test('a body without a length fails as broken when the reset arrives with its last bytes', async () => {
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

// Guards against a reset that passes for the end of a body because its reader was slow, or has paused the
// connection, or because a transfer coding other than chunks was taken for a mark of the end.
test('a reset is no end of a body without a length, however it is read', async () => {
  const codings = ['connection: close', 'transfer-encoding: identity'];
  const cases = codings.flatMap((header) =>
    [undefined, 1, 16_384].flatMap((ahead) =>
      [0, 20].map((pauseMs) => ({ header, ahead, pauseMs })),
    ),
  );
  const checks = cases.map(({ header, ahead, pauseMs }) =>
    withServer(
      (socket) => {
        socket.write(`HTTP/1.1 200 OK\r\n${header}\r\n\r\n${'x'.repeat(50_000)}`);
        setTimeout(() => {
          socket.write('lf');
          socket.resetAndDestroy();
        }, 50);
      },
      async (origin) => {
        const { error } = await readText(origin, ahead, pauseMs);
        assert.equal(error, 'broken', `${header}, ${ahead} bytes ahead, ${pauseMs} ms`);
      },
    ),
  );
  await Promise.all(checks);
});

// Some servers send a second response after a complete one. On a dedicated connection it is never read,
// and the caller gets only the first one.
test('bytes after a complete response are discarded', async () => {
  const one = 'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none';
  await withServer(
    (socket) => socket.write(`${one}HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo`),
    async (origin) => assert.deepEqual(await readText(origin), { text: 'one', error: undefined }),
  );
});

// Nothing listens at the address of a stopped server: nothing was sent, so another server may be tried.
test('a refused connection counts as not dispatched', async () => {
  const connection = new DedicatedConnection(
    'http://127.0.0.1:1',
    new SystemClock(),
    TIMEOUTS,
    new AbortController().signal,
  );
  const error = await connection.send({ method: 'GET', path: '/', headers: {} }).then(
    () => undefined,
    (thrown: unknown) => connection.classifyError(thrown),
  );
  connection.close();
  assert.equal(error?.type, 'unreachable');
  assert.equal(error.dispatched, false);
});

// Guards against upstreams that count as lost because of a call that no upstream could get.
test('a call that can not be sent is no failure of its upstream', async () => {
  const ends: string[] = [];
  const end = (name: string) => (): void => {
    ends.push(name);
  };
  await withServer(
    (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'),
    async (origin) => {
      const observeConnect = (): ConnectAttempt => ({
        ...{ connected: end('connected'), failed: end('failed'), cancelled: end('cancelled') },
      });
      const run = (headers: Readonly<Record<string, string>>): Promise<string> =>
        DedicatedConnection.run(
          origin,
          new SystemClock(),
          { ...TIMEOUTS, observeConnect },
          new AbortController().signal,
          async (connection) => ok(await connection.send({ method: 'GET', path: '/', headers })),
        ).then((result) => (result.isOk() ? 'answered' : result.error.type));
      assert.equal(await run({ 'x-a': 'b\ufffd' }), 'rejected');
      assert.deepEqual(ends, ['cancelled']);
      assert.equal(await run({ 'x-a': 'b' }), 'answered');
      assert.deepEqual(ends, ['cancelled', 'connected']);
    },
  );
});
