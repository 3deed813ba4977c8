import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import { DedicatedConnection, MIN_READ_AHEAD_BYTES } from '@camphorvane/upstream';

const BOUNDS = {
  headersTimeoutMs: 2_000,
  bodyTimeoutMs: 2_000,
  readAheadBytes: MIN_READ_AHEAD_BYTES,
};
const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
const LARGE = 'x'.repeat(300_000);

/** How the end of a body can be told, beside its length: by the connection alone, or by that as well. */
const HEADS = [
  HEAD,
  `HTTP/1.1 200 OK\r\ncontent-length: ${LARGE.length}\r\n\r\n`,
  HEAD.replace('\r\n\r\n', `\r\ncontent-length: ${LARGE.length}\r\n\r\n`),
];

async function readFrom(
  respond: (socket: Socket) => void,
  pauseMs = 0,
): Promise<{ readonly bytes: number; readonly largest: number; readonly error?: string }> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const never = new AbortController().signal;
  const connection = new DedicatedConnection(origin, new SystemClock(), BOUNDS, never);
  let [bytes, largest] = [0, 0];
  try {
    const res = await connection.send({ method: 'GET', path: '/', headers: {} });
    for await (const chunk of connection.read(res)) {
      bytes += chunk.length;
      largest = Math.max(largest, chunk.length);
      if (pauseMs > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, pauseMs);
        });
      }
    }
    return { bytes, largest };
  } catch (thrown) {
    return { bytes, largest, error: connection.classifyError(thrown).type };
  } finally {
    connection.close();
    server.close();
  }
}

// Guards against a last chunk that is lost, and against a host that dies by an assertion of undici, where the
// server closes while a slow caller has not taken everything.
test('a body is whole for a slow reader after its connection was closed in order', async () => {
  const reads = HEADS.map((head) => readFrom((socket) => socket.end(head + LARGE), 5));
  const results = await Promise.all(reads);
  const largest = Math.max(...results.map((result) => result.largest));
  results.forEach(({ bytes, error }) =>
    assert.deepEqual({ bytes, error }, { bytes: LARGE.length, error: undefined }),
  );
  // A read can return the chunk that waits together with the next one.
  assert.ok(largest <= 2 * 8 * 1024, `${largest}`);
});

// Guards against a truncated body that passes for a complete one, also where small chunks are read.
test('a reset is not taken for the end of a body', async () => {
  const { error } = await readFrom((socket) => {
    socket.write(`${HEAD}half`);
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  assert.equal(error, 'broken');
  const withLastBytes = await readFrom((socket) => {
    socket.write(`${HEAD}ha`);
    setTimeout(() => {
      socket.write('lf');
      socket.resetAndDestroy();
    }, 50);
  });
  assert.equal(withLastBytes.error, 'broken');
});

// Servers cut off what isn't read for some seconds. Guards against a host that dies by an assertion of undici.
test('a reset while a slow reader has paused the connection fails as broken', async () => {
  const reads = HEADS.map((head) =>
    readFrom((socket) => {
      socket.write(head + LARGE.slice(1));
      setTimeout(() => socket.resetAndDestroy(), 50);
    }, 40),
  );
  (await Promise.all(reads)).forEach(({ error }) => assert.equal(error, 'broken'));
});

test('a refused connection fails as without a bound', async () => {
  const never = new AbortController().signal;
  const connection = new DedicatedConnection(
    'http://127.0.0.1:1',
    new SystemClock(),
    BOUNDS,
    never,
  );
  const sent = connection.send({ method: 'GET', path: '/', headers: {} });
  await assert.rejects(sent, (thrown) => connection.classifyError(thrown).type === 'unreachable');
  connection.close();
});
