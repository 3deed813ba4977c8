import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { test } from 'node:test';
import { ReadingTurns } from '../src/index.ts';

const CLIENTS = 8;

/** Chunks of one byte that each client sends. */
const CHUNKS = 60_000;

const CHUNK = '1\r\nx\r\n';

/** Most bytes that Node reads from a connection at once. */
const READ_BYTES = 65_536;

/** Reads a body to its end; gets the most pieces of it that were read in one turn of the event loop. */
async function readInTurns(req: IncomingMessage, turns: ReadingTurns): Promise<number> {
  const countPiece = turns.counterOf(req);
  let [pieces, most] = [0, 0];
  req.on('data', () => {
    countPiece();
    pieces += 1;
    most = Math.max(most, pieces);
    if (pieces === 1) {
      setImmediate(() => {
        pieces = 0;
      });
    }
  });
  await once(req, 'end');
  return most;
}

// Guards against bodies in tiny pieces that hold up all else until what has arrived of them is read.
test('a body in tiny pieces is read once a turn, and to its end', async () => {
  const turns = new ReadingTurns();
  const server = createServer();
  const reads: Promise<number>[] = [];
  server.on('request', (req) => reads.push(readInTurns(req, turns)));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const clients = Array.from({ length: CLIENTS }, () => {
    const client = connect(port, '127.0.0.1');
    client.write('POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n');
    client.write(`${CHUNK.repeat(CHUNKS)}0\r\n\r\n`);
    return client;
  });
  while (reads.length < CLIENTS) await once(server, 'request');
  const most = Math.max(...(await Promise.all(reads)));
  clients.forEach((client) => client.destroy());
  server.close();
  assert.ok(most <= Math.ceil(READ_BYTES / CHUNK.length), `${most} pieces`);
});
