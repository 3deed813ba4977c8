import { readFileSync } from 'node:fs';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';
import { type Result, err, ok } from 'neverthrow';

/** Where the settings say that the certificates of mutual TLS lie. */
export interface PeerTlsPaths {
  readonly ca: string;
  readonly cert: string;
  readonly key: string;
  /** Name in the certificates of all hosts; hosts are called by IP numbers, which change. */
  readonly serverName: string;
}

/** Mutual TLS between hosts: both sides show a certificate of the fleet's authority. */
export class PeerTls {
  private readonly ca: Buffer;

  private readonly cert: Buffer;

  private readonly key: Buffer;

  /** Gets the name that a called host's certificate must carry. */
  readonly serverName: string;

  private constructor(ca: Buffer, cert: Buffer, key: Buffer, serverName: string) {
    this.ca = ca;
    this.cert = cert;
    this.key = key;
    this.serverName = serverName;
  }

  /**
   * Reads the files that the settings name.
   *
   * @param paths - The files, in PEM.
   * @returns The certificates, or a sentence that names the file that can't be read.
   */
  static read(paths: PeerTlsPaths): Result<PeerTls, string> {
    try {
      const files = [paths.ca, paths.cert, paths.key].map((file) => readFileSync(file));
      const [ca, cert, key] = files as [Buffer, Buffer, Buffer];
      return ok(new PeerTls(ca, cert, key, paths.serverName));
    } catch (error) {
      return err(`peer TLS: ${(error as Error).message}`);
    }
  }

  /** Gets the credentials of a calling host. */
  channelCredentials(): ChannelCredentials {
    return ChannelCredentials.createSsl(this.ca, this.key, this.cert);
  }

  /** Gets the credentials of a called host, which demand a certificate of every caller. */
  serverCredentials(): ServerCredentials {
    const pair = { private_key: this.key, cert_chain: this.cert };
    return ServerCredentials.createSsl(this.ca, [pair], true);
  }
}
