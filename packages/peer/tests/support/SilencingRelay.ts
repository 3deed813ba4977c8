import net from 'node:net';

/** A relay on loopback whose open connections can be made silent while new ones work. */
export class SilencingRelay {
  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  private silent = new Set<net.Socket>();

  private dead = false;

  constructor(targetPort: number) {
    this.server = net.createServer((near) => {
      const far = net.connect(targetPort, '127.0.0.1');
      this.forward(near, far);
      this.forward(far, near);
    });
  }

  /** Starts to listen on a free port. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** Drops all bytes of the connections that are open now, without closing them. */
  silence(): void {
    this.silent = new Set(this.sockets);
  }

  /** Drops the bytes of new connections too, as if the peer were gone without a word. */
  silenceAll(): void {
    this.dead = true;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private forward(from: net.Socket, to: net.Socket): void {
    this.sockets.add(from);
    from.on('data', (data) => {
      if (!this.dead && !this.silent.has(from)) to.write(data);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
