import type { Clock, HostId, Millis } from '@camphorvane/core';
import { ChannelCredentials, type ClientOptions, Metadata } from '@grpc/grpc-js';
import type { ResultAsync } from 'neverthrow';
import { PeerClient } from '../generated/peer.ts';
import type { PeerAddress, PeerError, PeerLink, PeerRequest, PeerResponse } from '../PeerLink.ts';
import type { FleetCredential } from './FleetCredential.ts';
import { PeerChannel, type PeerChannelDump, type SilenceVerdict } from './PeerChannel.ts';
import type { PeerTls } from './PeerTls.ts';
import { PEER_METADATA, type PeerIdentity } from './peerProtocol.ts';

/** Calls that may wait for one peer at one time. */
const DEFAULT_MAX_IN_FLIGHT = 1024;

/** A probe decides within one second, so that a silent connection costs few requests. */
const DEFAULT_PROBE_TIMEOUT_MS = 1000;

/** A peer that comes back is found within about a second, not after grpc-js's two minutes. */
const RECONNECT = { first: 100, longest: 1000 } as const;

/** Largest message: a chunk of configuration holds up to a megabyte. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** What a {@link GrpcPeerLink} needs. */
export interface GrpcPeerLinkOptions {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly credential: FleetCredential;
  /** Absent: plain TCP, with the credential alone. */
  readonly tls?: PeerTls;
  readonly maxInFlight?: number;
  readonly probeTimeoutMs?: Millis;
  /** Told when a connection met silence, and what a probe on a new one found. */
  readonly onVerdict?: (host: HostId, verdict: SilenceVerdict) => void;
}

interface KnownPeer {
  readonly address: string;
  readonly channel: PeerChannel;
}

/** Asks other hosts over gRPC; one connection for each peer. */
export class GrpcPeerLink implements PeerLink {
  private readonly options: GrpcPeerLinkOptions;

  private readonly peers = new Map<HostId, KnownPeer>();

  constructor(options: GrpcPeerLinkOptions) {
    this.options = options;
  }

  /**
   * Asks a peer.
   *
   * @param to - The peer; a new address replaces the connection to the old one.
   * @param req - What is asked.
   * @param timeoutMs - Milliseconds after which the call ends with `timeout`.
   * @returns The answer, or why there is none; the peer may have acted all the same.
   */
  ask(to: PeerAddress, req: PeerRequest, timeoutMs: number): ResultAsync<PeerResponse, PeerError> {
    return this.channelTo(to).ask(req, timeoutMs);
  }

  /**
   * Closes the connections to all hosts but the named ones, which a group has now.
   *
   * @param hosts - Hosts to keep.
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
    metadata.set(PEER_METADATA.token, credential.tokenFor(self, host));
    return metadata;
  }

  private connect(address: string): PeerClient {
    const { tls } = this.options;
    const options: ClientOptions = {
      // grpc-js shares connections between channels to one address; a probe needs one of its own.
      'grpc.use_local_subchannel_pool': 1,
      'grpc.initial_reconnect_backoff_ms': RECONNECT.first,
      'grpc.max_reconnect_backoff_ms': RECONNECT.longest,
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      // No service discovery and no proxy of the environment: peers are called by IP number.
      'grpc.service_config_disable_resolution': 1,
      'grpc.enable_http_proxy': 0,
      ...(tls === undefined ? {} : { 'grpc.ssl_target_name_override': tls.serverName }),
    };
    const credentials = tls?.channelCredentials() ?? ChannelCredentials.createInsecure();
    return new PeerClient(address, credentials, options);
  }
}
