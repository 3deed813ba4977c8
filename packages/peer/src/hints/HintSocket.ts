import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HostHint } from './HostHint.ts';
import { decodeHint, encodeHint } from './HostHint.ts';

/** Sends hints to hosts, and takes in theirs. */
export interface HintLink {
  /** Sends a hint to each address (`ip:port`); nobody knows whether it arrives. */
  send(hint: HostHint, to: readonly string[]): void;

  /** Calls back with each hint that arrives. */
  onHint(listener: (hint: HostHint) => void): void;
}

/** Hints over UDP. */
export class HintSocket implements HintLink {
  private readonly socket: Socket = createSocket('udp4');

  private failures = 0;

  constructor() {
    // A host that can't be reached, or a full link: the next hint tells the same.
    this.socket.on('error', () => {
      this.failures += 1;
    });
  }

  /** Binds the socket; resolves to why that failed, if it did. */
  async listen(ip: string, port: number): Promise<Result<void, string>> {
    return new Promise((resolve) => {
      this.socket.once('error', (error) => resolve(err(error.message)));
      this.socket.bind(port, ip, () => resolve(ok(undefined)));
    });
  }

  /** {@inheritDoc HintLink.send} */
  send(hint: HostHint, to: readonly string[]): void {
    const bytes = encodeHint(hint);
    to.forEach((address) => {
      const [ip = '', port = ''] = address.split(':');
      this.socket.send(bytes, Number(port), ip, (error) => {
        if (error !== null) this.failures += 1;
      });
    });
  }

  /** {@inheritDoc HintLink.onHint} */
  onHint(listener: (hint: HostHint) => void): void {
    this.socket.on('message', (bytes) => {
      const hint = decodeHint(bytes);
      if (hint !== undefined) listener(hint);
    });
  }

  /** Gets how many sends failed, for the state dump. */
  getFailures(): number {
    return this.failures;
  }

  /** Closes the socket. */
  close(): void {
    this.socket.close();
  }
}
