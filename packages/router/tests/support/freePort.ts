import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Gets an unused port of the loopback address. */
export async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  return port;
}
