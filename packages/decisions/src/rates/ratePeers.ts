import type { HostId, Incarnation, Millis, TeamId, Tokens } from '@camphorvane/core';

/** A report that stands for several peers, as a relay sums it up. */
export interface CrowdReport {
  /** The relaying host. */
  readonly relay: HostId;
  readonly incarnation: Incarnation;
  /** Peers whose charges are in the totals. */
  readonly heard: number;
  /** Tokens by team that these peers have charged since the relay's first hint of each. */
  readonly totals: ReadonlyMap<TeamId, Tokens>;
}

/** What a host knows of the charges of a peer, or of several together. */
export interface RatePeer {
  /** Hosts that it stands for. */
  readonly hosts: number;
  readonly incarnation: Incarnation | undefined;
  /** When it last said something; undefined for one that never did. */
  readonly receivedAt: Millis | undefined;
  readonly totals: ReadonlyMap<TeamId, Tokens>;
  /** Tokens a millisecond that it charges to each team of late. */
  readonly paces: ReadonlyMap<TeamId, number>;
  /** Taken out of the buckets since its last hint, for what it has charged meanwhile. */
  readonly assumed: ReadonlyMap<TeamId, Tokens>;
}

/** A peer that has said nothing yet. */
export const UNKNOWN_PEER: RatePeer = {
  hosts: 1,
  incarnation: undefined,
  receivedAt: undefined,
  totals: new Map(),
  paces: new Map(),
  assumed: new Map(),
};
