import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { contain } from '@camphorvane/core';
import type { StreamOrigin } from '@camphorvane/decisions';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HostDigest } from './HostDigest.ts';
import { decodeDigest, encodeDigest, isDigest } from './HostDigest.ts';
import type { HostHint } from './HostHint.ts';
import { decodeHint, encodeHint } from './HostHint.ts';
import type { OriginDatagrams } from '../origins/PeerOriginLink.ts';
import { decodeOrigins } from '../origins/originCodec.ts';

/** Highest UDP port. */
const MAX_PORT = 65_535;

/** Sends hints and digests to other hosts and receives theirs, without acknowledgements. */
export interface HintLink {
  /** Sends a hint to each address (`ip:port`); delivery is not confirmed. */
  sendHint(hint: HostHint, to: readonly string[]): void;

  /** Sends a digest to the address (`ip:port`) of the host that it was built for. */
  sendDigest(digest: HostDigest, to: string): void;

  /** Registers a listener for each hint received. */
  onHint(listener: (hint: HostHint) => void): void;

  /** Registers a listener for each digest received. */
  onDigest(listener: (digest: HostDigest) => void): void;
}

/** Sends and receives hints, digests and the origins of streams over UDP, one datagram each. */
export class HintSocket implements HintLink, OriginDatagrams {
  private readonly socket: Socket = createSocket('udp4');

  private failures = 0;

  constructor() {
    // An unreachable host or a full link needs no retry: the next hint carries the same state.
    this.socket.on('error', () => {
      this.failures += 1;
    });
  }

  /** Binds the socket; resolves to the error message where binding fails. */
  async listen(ip: string, port: number): Promise<Result<void, string>> {
    return new Promise((resolve) => {
      this.socket.once('error', (error) => resolve(err(error.message)));
      this.socket.bind(port, ip, () => resolve(ok(undefined)));
    });
  }

  /** {@inheritDoc HintLink.sendHint} */
  sendHint(hint: HostHint, to: readonly string[]): void {
    const bytes = encodeHint(hint);
    to.forEach((address) => this.sendBytes(bytes, address));
  }

  /** {@inheritDoc HintLink.sendDigest} */
  sendDigest(digest: HostDigest, to: string): void {
    this.sendBytes(encodeDigest(digest), to);
  }

  /** {@inheritDoc HintLink.onHint} */
  onHint(listener: (hint: HostHint) => void): void {
    this.onDatagram((bytes) => {
      const hint = isDigest(bytes) ? undefined : decodeHint(bytes);
      if (hint !== undefined) listener(hint);
    });
  }

  /** {@inheritDoc HintLink.onDigest} */
  onDigest(listener: (digest: HostDigest) => void): void {
    this.onDatagram((bytes) => {
      const digest = isDigest(bytes) ? decodeDigest(bytes) : undefined;
      if (digest !== undefined) listener(digest);
    });
  }

  /** {@inheritDoc OriginDatagrams.sendDatagram} */
  sendDatagram(bytes: Buffer, to: string): void {
    this.sendBytes(bytes, to);
  }

  /** {@inheritDoc OriginDatagrams.onOrigins} */
  onOrigins(listener: (origins: readonly StreamOrigin[]) => void): void {
    this.onDatagram((bytes) => {
      const origins = decodeOrigins(bytes);
      if (origins !== undefined) listener(origins);
    });
  }

  /** Gets the number of socket errors and failed sends, for the state dump. */
  getFailures(): number {
    return this.failures;
  }

  /** Closes the socket. */
  close(): void {
    this.socket.close();
  }

  private onDatagram(receive: (bytes: Buffer) => void): void {
    this.socket.on('message', (bytes) => contain('peer.datagram', () => receive(bytes)));
  }

  private sendBytes(bytes: Buffer, address: string): void {
    const [ip = '', text = ''] = address.split(':');
    const port = Number(text);
    if (ip === '' || !(port > 0 && port <= MAX_PORT)) {
      this.failures += 1;
      return;
    }
    this.socket.send(bytes, port, ip, (error) => {
      if (error !== null) this.failures += 1;
    });
  }
}
