import type { Millis, TeamId } from '@camphorvane/core';
import type { Share } from './ShareSettings.ts';

/** Tokens that a holder returns to the coordinator; the id makes the return idempotent. */
export interface GivenTokens {
  readonly id: number;
  readonly tokens: number;
}

/** Report of a holder on one team. */
export interface TeamReport {
  readonly team: TeamId;
  /** The share held now; 0 if the grant has expired. */
  readonly share: Share;
  readonly level: number;
  /** Recent demand, in tokens per second. */
  readonly demand: number;
  readonly given?: GivenTokens;
  /** Whether this holder ever had a grant of the team. */
  readonly known: boolean;
}

/** Message of a holder to a coordinator; each one asks for a renewal of the earlier grants. */
export interface ShareSync {
  /** Sequence number of the message, for this holder and coordinator. */
  readonly sync: number;
  /** Sequence number of the last message whose reply was applied; 0 for none. */
  readonly acked: number;
  readonly epoch: number;
  /** Newest session received from the coordinator. */
  readonly session: number;
  /** Session for which all held shares have been reported; 0 until then. */
  readonly listedSession: number;
  readonly reports: readonly TeamReport[];
}

/** Grant of one team; it replaces the share that the holder had. */
export interface TeamGrant {
  readonly team: TeamId;
  readonly share: Share;
  /** Tokens moved from the coordinator's free bucket to the holder. */
  readonly tokens: number;
  /** Whether the holder must discard its share and tokens first. */
  readonly reset: boolean;
}

/** Reply of a coordinator. */
export interface ShareReply {
  /** Sequence number of the message that is answered. */
  readonly sync: number;
  readonly epoch: number;
  /** Grows each time the coordinator takes over a team. */
  readonly session: number;
  /** Lifetime of the grants, counted from when the message was sent. */
  readonly ttlMs: Millis;
  readonly grants: readonly TeamGrant[];
  /** Reported teams that this host may not coordinate now. */
  readonly declined: readonly TeamId[];
}
