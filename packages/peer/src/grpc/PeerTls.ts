import { readFileSync } from 'node:fs';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';
import { type Result, err, ok } from 'neverthrow';

/** File paths of the certificates and the key for mutual TLS, from the settings. */
export interface PeerTlsPaths {
  readonly ca: string;
  readonly cert: string;
  readonly key: string;
  /** Server name in the certificates of all hosts; hosts are addressed by IP, which may change. */
  readonly serverName: string;
}

/** Mutual TLS between hosts: both sides present a certificate signed by the fleet's CA. */
export class PeerTls {
  private readonly ca: Buffer;

  private readonly cert: Buffer;

  private readonly key: Buffer;

  /** The server name that the certificate of a called host must contain. */
  readonly serverName: string;

  private constructor(ca: Buffer, cert: Buffer, key: Buffer, serverName: string) {
    this.ca = ca;
    this.cert = cert;
    this.key = key;
    this.serverName = serverName;
  }

  /**
   * Reads the certificates and the key.
   *
   * @param paths - Paths of the PEM files.
   * @returns The TLS configuration, or an error message that names the file that can't be read.
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

  /** Gets the client credentials. */
  channelCredentials(): ChannelCredentials {
    return ChannelCredentials.createSsl(this.ca, this.key, this.cert);
  }

  /** Gets the server credentials, which require a client certificate. */
  serverCredentials(): ServerCredentials {
    const pair = { private_key: this.key, cert_chain: this.cert };
    return ServerCredentials.createSsl(this.ca, [pair], true);
  }
}
