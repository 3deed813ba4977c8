import type { Clock, HostId, Millis } from '@camphorvane/core';
import { ChannelCredentials, type ClientOptions, Metadata } from '@grpc/grpc-js';
import type { ResultAsync } from 'neverthrow';
import { PeerClient } from '../generated/peer.ts';
import type { PeerAddress, PeerError, PeerLink, PeerRequest, PeerResponse } from '../PeerLink.ts';
import type { FleetCredential } from './FleetCredential.ts';
import { PeerChannel, type PeerChannelDump, type ProbeVerdict } from './PeerChannel.ts';
import type { PeerTls } from './PeerTls.ts';
import { PEER_METADATA, type PeerIdentity } from './peerProtocol.ts';

/** Maximum number of calls in flight to one peer. */
const DEFAULT_MAX_IN_FLIGHT = 1024;

/** Timeout of a probe; one second, so that few requests are lost to an unresponsive connection. */
const DEFAULT_PROBE_TIMEOUT_MS = 1000;

/** Reconnect back-off; a recovered peer is reached within about 1 s, not grpc-js's two minutes. */
const RECONNECT_BACKOFF_MS = { initial: 100, max: 1000 } as const;

/** Maximum message size; a configuration chunk holds up to one megabyte. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Options of a {@link GrpcPeerLink}. */
export interface GrpcPeerLinkOptions {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly credential: FleetCredential;
  /** Mutual TLS; without it, plain TCP with the fleet credential alone. */
  readonly tls?: PeerTls;
  readonly maxInFlight?: number;
  readonly probeTimeoutMs?: Millis;
  /** Called after a call timed out without any sign of life, with the result of the probe. */
  readonly onVerdict?: (host: HostId, verdict: ProbeVerdict) => void;
}

interface PeerConnection {
  readonly address: string;
  readonly channel: PeerChannel;
}

/** Sends requests to other hosts over gRPC, with one connection per peer. */
export class GrpcPeerLink implements PeerLink {
  private readonly options: GrpcPeerLinkOptions;

  private readonly peers = new Map<HostId, PeerConnection>();

  constructor(options: GrpcPeerLinkOptions) {
    this.options = options;
  }

  /**
   * Sends a request to a peer.
   *
   * @param to - The peer; a new address replaces the connection to the old one.
   * @param req - The request.
   * @param timeoutMs - Milliseconds after which the call ends with `timeout`.
   * @returns The response, or an error; the peer may have executed the request in either case.
   */
  ask(to: PeerAddress, req: PeerRequest, timeoutMs: number): ResultAsync<PeerResponse, PeerError> {
    return this.channelTo(to).ask(req, timeoutMs);
  }

  /**
   * Closes the connections to all hosts except the named ones.
   *
   * @param hosts - Hosts whose connections stay open, such as the members of the group.
   */
  retain(hosts: readonly HostId[]): void {
    const kept = new Set(hosts);
    [...this.peers.keys()].filter((host) => !kept.has(host)).forEach((host) => this.drop(host));
  }

  /** Closes all connections. */
  close(): void {
    this.retain([]);
  }

  /** Gets the state of each connection. */
  dump(): Readonly<Record<HostId, PeerChannelDump>> {
    return Object.fromEntries([...this.peers].map(([host, peer]) => [host, peer.channel.dump()]));
  }

  private channelTo(to: PeerAddress): PeerChannel {
    const known = this.peers.get(to.host);
    if (known?.address === to.address) return known.channel;
    this.drop(to.host);
    const channel = this.open(to);
    this.peers.set(to.host, { address: to.address, channel });
    return channel;
  }

  private drop(host: HostId): void {
    this.peers.get(host)?.channel.close();
    this.peers.delete(host);
  }

  private open(to: PeerAddress): PeerChannel {
    const { clock, maxInFlight, probeTimeoutMs, onVerdict } = this.options;
    const metadata = this.metadataFor(to.host);
    return new PeerChannel({
      clock,
      connect: () => this.connect(to.address),
      metadata: () => metadata.clone(),
      maxInFlight: maxInFlight ?? DEFAULT_MAX_IN_FLIGHT,
      probeTimeoutMs: probeTimeoutMs ?? DEFAULT_PROBE_TIMEOUT_MS,
      onVerdict: (verdict) => onVerdict?.(to.host, verdict),
    });
  }

  private metadataFor(host: HostId): Metadata {
    const { self, credential } = this.options;
    const metadata = new Metadata();
    metadata.set(PEER_METADATA.protocol, String(self.protocol));
    metadata.set(PEER_METADATA.host, self.host);
    metadata.set(PEER_METADATA.incarnation, self.incarnation);
    metadata.set(PEER_METADATA.token, credential.createToken(self, host));
    return metadata;
  }

  private connect(address: string): PeerClient {
    const { tls } = this.options;
    const options: ClientOptions = {
      // By default grpc-js shares connections between channels to one address; a probe needs its own.
      'grpc.use_local_subchannel_pool': 1,
      'grpc.initial_reconnect_backoff_ms': RECONNECT_BACKOFF_MS.initial,
      'grpc.max_reconnect_backoff_ms': RECONNECT_BACKOFF_MS.max,
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      // Peers are addressed by IP, without service discovery or proxies from the environment.
      'grpc.service_config_disable_resolution': 1,
      'grpc.enable_http_proxy': 0,
      ...(tls === undefined ? {} : { 'grpc.ssl_target_name_override': tls.serverName }),
    };
    const credentials = tls?.channelCredentials() ?? ChannelCredentials.createInsecure();
    return new PeerClient(address, credentials, options);
  }
}
