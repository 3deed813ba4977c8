import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HostDigest } from './HostDigest.ts';
import { decodeDigest, encodeDigest, isDigest } from './HostDigest.ts';
import type { HostHint } from './HostHint.ts';
import { decodeHint, encodeHint } from './HostHint.ts';

/** Sends hints to hosts, and takes in theirs. */
export interface HintLink {
  /** Sends a hint to each address (`ip:port`); nobody knows whether it arrives. */
  send(hint: HostHint, to: readonly string[]): void;

  /** Sends a digest to the host that it is made for. */
  sendDigest(digest: HostDigest, to: string): void;

  /** Calls back with each hint that arrives. */
  onHint(listener: (hint: HostHint) => void): void;

  /** Calls back with each digest that arrives. */
  onDigest(listener: (digest: HostDigest) => void): void;
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
    to.forEach((address) => this.sendBytes(bytes, address));
  }

  /** {@inheritDoc HintLink.sendDigest} */
  sendDigest(digest: HostDigest, to: string): void {
    this.sendBytes(encodeDigest(digest), to);
  }

  /** {@inheritDoc HintLink.onHint} */
  onHint(listener: (hint: HostHint) => void): void {
    this.socket.on('message', (bytes) => {
      const hint = isDigest(bytes) ? undefined : decodeHint(bytes);
      if (hint !== undefined) listener(hint);
    });
  }

  /** {@inheritDoc HintLink.onDigest} */
  onDigest(listener: (digest: HostDigest) => void): void {
    this.socket.on('message', (bytes) => {
      const digest = isDigest(bytes) ? decodeDigest(bytes) : undefined;
      if (digest !== undefined) listener(digest);
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

  private sendBytes(bytes: Buffer, address: string): void {
    const [ip = '', port = ''] = address.split(':');
    this.socket.send(bytes, Number(port), ip, (error) => {
      if (error !== null) this.failures += 1;
    });
  }
}
