/* eslint-disable */
// A TCP proxy whose open connections can go silent for good, while new ones work.
import { connect, createServer } from 'node:net';

export class Proxy {
  pairs = new Set();

  constructor(target) {
    this.server = createServer({ allowHalfOpen: true }, (client) => this.open(client, target));
  }

  listen(ip, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
  }

  open(client, { ip, port }) {
    const server = connect({ host: ip, port, allowHalfOpen: true });
    const pair = { client, server, isSilent: false };
    this.pairs.add(pair);
    const pass = (from, to) => {
      from.on('data', (bytes) => {
        if (!pair.isSilent) to.write(bytes);
      });
      from.once('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.once('close', () => {
        if (!pair.isSilent) to.destroy();
        this.pairs.delete(pair);
      });
      from.on('error', () => {
        if (!pair.isSilent) to.destroy();
      });
    };
    pass(client, server);
    pass(server, client);
  }

  /** Passes nothing on any more on the connections that are open now; neither end is told. */
  silenceOpen() {
    this.pairs.forEach((pair) => {
      pair.isSilent = true;
    });
    return this.pairs.size;
  }

  close() {
    this.server.close();
    this.pairs.forEach(({ client, server }) => {
      client.destroy();
      server.destroy();
    });
  }
}
