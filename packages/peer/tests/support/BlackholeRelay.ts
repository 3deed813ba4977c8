import net from 'node:net';

/** A TCP relay on loopback that can drop the bytes of its open connections while new ones work. */
export class BlackholeRelay {
  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  private silenced = new Set<net.Socket>();

  private dropsAll = false;

  constructor(targetPort: number) {
    this.server = net.createServer((inbound) => {
      const outbound = net.connect(targetPort, '127.0.0.1');
      this.forward(inbound, outbound);
      this.forward(outbound, inbound);
    });
  }

  /** Listens on a free port and resolves to the address. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** Drops all bytes of the currently open connections, without closing them. */
  dropOpenConnections(): void {
    this.silenced = new Set(this.sockets);
  }

  /** Drops the bytes of all connections, including new ones, as if the peer had crashed. */
  dropAllConnections(): void {
    this.dropsAll = true;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private forward(from: net.Socket, to: net.Socket): void {
    this.sockets.add(from);
    from.on('data', (data) => {
      if (!this.dropsAll && !this.silenced.has(from)) to.write(data);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
