import type { HostId, Incarnation, Millis, TeamId, Tokens } from '@camphorvane/core';

/** Time constant of the mean rate of a peer's charges, in milliseconds: some requests of one team. */
const RATE_AVERAGING_MS: Millis = 1_000;

/** A relay's digest of the charges of all peers from which it receives hints. */
export interface RelayDigest {
  /** The host that relays gossip. */
  readonly relay: HostId;
  readonly incarnation: Incarnation;
  /** Number of peers whose charges are in the totals. */
  readonly peerCount: number;
  /** Tokens by team that these peers have charged since the relay received the first hint of each. */
  readonly totals: ReadonlyMap<TeamId, Tokens>;
}

/** Charges of one peer, or of a group of peers together, as far as this host knows. */
export interface PeerCharges {
  /** Number of hosts in the group; 1 for a single peer. */
  readonly hostCount: number;
  /** Incarnation from whose start the totals count; undefined if none were received. */
  readonly incarnation: Incarnation | undefined;
  /** Time of the last report; undefined if there was none. */
  readonly receivedAt: Millis | undefined;
  /** Tokens charged to each team, as last reported. */
  readonly totals: ReadonlyMap<TeamId, Tokens>;
  /** Recent rate of charges to each team, in tokens a millisecond. */
  readonly chargeRates: ReadonlyMap<TeamId, number>;
  /** Extrapolated charges that were deducted from the buckets since the last report. */
  readonly assumed: ReadonlyMap<TeamId, Tokens>;
}

/** A peer without a report. */
export const UNKNOWN_PEER: PeerCharges = {
  hostCount: 1,
  incarnation: undefined,
  receivedAt: undefined,
  totals: new Map(),
  chargeRates: new Map(),
  assumed: new Map(),
};

/**
 * Gets the moving average of a peer's charge rates, updated by its new totals.
 *
 * @param teams - Teams with a rate.
 * @param known - What is known of the peer.
 * @param totals - Tokens charged to each team, as reported now.
 * @param now - Present time.
 */
export function measureRates(
  teams: readonly TeamId[],
  known: PeerCharges,
  totals: ReadonlyMap<TeamId, Tokens>,
  now: Millis,
): ReadonlyMap<TeamId, number> {
  const elapsedMs = Math.max(1, now - (known.receivedAt ?? now));
  const weight = 1 - Math.exp(-elapsedMs / RATE_AVERAGING_MS);
  return new Map(
    teams.map((team) => {
      const charged = (totals.get(team) ?? 0) - (known.totals.get(team) ?? 0);
      const mean = known.chargeRates.get(team) ?? 0;
      return [team, mean + (Math.max(0, charged) / elapsedMs - mean) * weight];
    }),
  );
}
