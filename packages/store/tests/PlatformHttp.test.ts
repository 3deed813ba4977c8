import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import { PlatformHttp } from '@camphorvane/store';
import type { Dispatcher } from 'undici';

// A middlebox drops the state of all open connections: they stay open without any response, while new
// ones work. A host that tried its old connections in turn would learn of a configuration change
// seconds too late and refuse callers by the old configuration.
test('after a timeout on a dead connection the next call uses a new one', async () => {
  const open = new Set<Socket>();
  const dead = new Set<Socket>();
  const server = createServer((req, res) => {
    if (!dead.has(req.socket)) setTimeout(() => res.end('{}'), 20);
  });
  server.on('connection', (socket) => open.add(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const http = new PlatformHttp({ baseUrl, clock: new SystemClock(), connections: 3 });
  const call = (timeoutMs: number) => http.call({ method: 'GET', path: '/', timeoutMs });
  const first = await Promise.all([call(1_000), call(1_000), call(1_000)]);
  assert.deepEqual(
    first.map((answer) => (answer.isOk() ? 'ok' : JSON.stringify(answer.error))),
    ['ok', 'ok', 'ok'],
  );
  open.forEach((socket) => dead.add(socket));
  assert.equal((await call(100)).isErr(), true);
  assert.equal((await call(500)).isOk(), true);
  await http.close();
  server.closeAllConnections();
  server.close();
});

// During a network partition a new connection to the store can't be established, and no error is
// reported. A call that waited for the connection beyond its own timeout would keep the host on an old
// configuration for seconds after the partition has healed.
test('a call without a connection ends at its own timeout', async () => {
  const never = { dispatch: () => true } as unknown as Dispatcher;
  const http = new PlatformHttp({
    baseUrl: 'http://127.0.0.1:1',
    clock: new SystemClock(),
    dispatcher: never,
  });
  const startedAt = Date.now();
  const answer = await http.call({ method: 'GET', path: '/', timeoutMs: 50 });
  assert.equal(answer._unsafeUnwrapErr().type, 'unavailable');
  assert.ok(Date.now() - startedAt < 500);
});
