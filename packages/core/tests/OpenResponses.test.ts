import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import type { OpenResponse } from '@camphorvane/core';
import { OpenResponses } from '@camphorvane/core';

/** Bytes of an answer of which a part stays in the process while its caller reads nothing. */
const LARGE_BYTES = 16 * 1024 * 1024;

const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

interface World {
  readonly server: Server;
  readonly responses: OpenResponses;
  readonly cut: readonly OpenResponse[];
  /** Sends bytes on a connection whose answer is not read until the socket is resumed. */
  readonly send: (bytes: string) => Promise<Socket>;
}

async function withServer(
  listener: RequestListener,
  run: (world: World) => Promise<void>,
): Promise<void> {
  const server = createServer(listener);
  const cut: OpenResponse[] = [];
  const responses = new OpenResponses(server, (response) => cut.push(response));
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as AddressInfo;
  const sockets: Socket[] = [];
  const send = async (bytes: string): Promise<Socket> => {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.pause();
    socket.write(bytes);
    await once(server, 'request');
    return socket;
  };
  try {
    await run({ server, responses, cut, send });
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.closeAllConnections();
    server.close();
  }
}

// Guards against an answer that counts as delivered since it was ended.
test('a response is open until the socket has taken its last byte', async () => {
  const listener: RequestListener = (_req, res) => res.end(Buffer.alloc(LARGE_BYTES));
  await withServer(listener, async ({ responses, cut, send }) => {
    const socket = await send(REQUEST);
    assert.equal(responses.count(), 1);
    const [open] = responses.list();
    assert.ok(open?.hasEnded && (open.leftBytes ?? 0) > 0);
    socket.resume();
    await responses.untilTaken();
    assert.equal(responses.count(), 0);
    assert.deepEqual(cut, []);
  });
});

// Guards against a cut answer that looks delivered: Node.js emits `finish` for it as well.
test('a response that was ended and is cut is reported', async () => {
  const listener: RequestListener = (_req, res) => res.end(Buffer.alloc(LARGE_BYTES));
  await withServer(listener, async ({ server, responses, cut, send }) => {
    await send(REQUEST);
    server.closeAllConnections();
    await responses.untilTaken();
    assert.deepEqual(
      cut.map(({ hasEnded }) => hasEnded),
      [true],
    );
  });
});

// Guards against a host that waits for ever for responses behind another one on a connection that is gone.
test('responses that wait for an earlier one end with their connection', async () => {
  const begun: ServerResponse[] = [];
  const listener: RequestListener = (_req, res) => begun.push(res);
  await withServer(listener, async ({ responses, cut, send }) => {
    const socket = await send(REQUEST.repeat(3));
    assert.equal(responses.count(), 3);
    socket.destroy();
    await responses.untilTaken();
    assert.equal(responses.count(), 0);
    assert.deepEqual(cut, [], 'none had ended');
  });
});
