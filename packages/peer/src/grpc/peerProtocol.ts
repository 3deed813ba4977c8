import type { HostId, Incarnation } from '@camphorvane/core';

/**
 * Version of the peer protocol implemented here. It increases with each change that an older version
 * would misread; added fields and variants don't need a new version.
 */
export const PEER_PROTOCOL = 1;

/**
 * Maximum difference between two compatible protocol versions. During a rolling update hosts of two
 * successive releases run side by side; a wider window would require each release to understand
 * more earlier ones.
 */
export const MAX_PROTOCOL_VERSION_GAP = 1;

/** Names of the gRPC metadata entries that identify the sender. */
export const PEER_METADATA = {
  protocol: 'camphorvane-protocol',
  host: 'camphorvane-host',
  incarnation: 'camphorvane-incarnation',
  token: 'camphorvane-token',
} as const;

/** The identity of a host in the peer protocol. */
export interface PeerIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Protocol version; {@link PEER_PROTOCOL} unless a test simulates an older or newer host. */
  readonly protocol: number;
}

/**
 * Tells whether two protocol versions are compatible.
 *
 * @param own - The version of this host.
 * @param other - The version of the other host.
 * @returns True where they differ by at most {@link MAX_PROTOCOL_VERSION_GAP}.
 */
export function isProtocolCompatible(own: number, other: number): boolean {
  return Number.isInteger(other) && Math.abs(own - other) <= MAX_PROTOCOL_VERSION_GAP;
}
