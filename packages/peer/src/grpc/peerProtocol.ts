import type { HostId, Incarnation } from '@camphorvane/core';

/**
 * Version of the protocol between hosts that this program speaks. It grows with each change that
 * an older program would misread; added fields and variants do not need a new version.
 */
export const PEER_PROTOCOL = 1;

/**
 * How far two versions may lie apart. During a replacement hosts of two neighbouring releases run
 * side by side; a wider window would ask every release to understand all earlier ones.
 */
export const PROTOCOL_WINDOW = 1;

/** Names of the metadata entries by which a host says who it is. */
export const PEER_METADATA = {
  protocol: 'camphorvane-protocol',
  host: 'camphorvane-host',
  incarnation: 'camphorvane-incarnation',
  token: 'camphorvane-token',
} as const;

/** One host as it takes part in the exchange between hosts. */
export interface PeerIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Version of the protocol; {@link PEER_PROTOCOL} unless a test plays an older or newer host. */
  readonly protocol: number;
}

/**
 * Tells whether two versions of the protocol may talk to each other.
 *
 * @param own - The version of this program.
 * @param other - The version of the other host.
 * @returns True where they lie within {@link PROTOCOL_WINDOW}.
 */
export function isProtocolAccepted(own: number, other: number): boolean {
  return Number.isInteger(other) && Math.abs(own - other) <= PROTOCOL_WINDOW;
}
