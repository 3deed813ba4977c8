import type { Millis, TeamId } from '@camphorvane/core';
import type { Share } from './ShareSettings.ts';

/** Tokens that a holder has taken out of its bucket for the steward; counted once by its id. */
export interface GivenTokens {
  readonly id: number;
  readonly tokens: number;
}

/** What a holder says of one team. */
export interface TeamReport {
  readonly team: TeamId;
  /** What it holds now; 0 where its grant has run out. */
  readonly share: Share;
  readonly level: number;
  /** Tokens a second asked of it lately. */
  readonly demand: number;
  readonly given?: GivenTokens;
  /** True where this holder ever had a grant of the team. */
  readonly known: boolean;
}

/** What a holder sends to a steward; each one renews what the steward granted before. */
export interface ShareSync {
  /** Grows with each message of this holder to this steward. */
  readonly sync: number;
  /** Number of the last message whose reply was applied; 0 for none. */
  readonly acked: number;
  readonly epoch: number;
  /** The newest session that this holder has learnt from the steward. */
  readonly session: number;
  /** The session under which everything held has been reported; 0 while that is not yet so. */
  readonly listedSession: number;
  readonly reports: readonly TeamReport[];
}

/** What a steward says of one team; it replaces what the holder had. */
export interface TeamGrant {
  readonly team: TeamId;
  readonly share: Share;
  /** Tokens that the steward has taken out of its bucket for the holder. */
  readonly tokens: number;
  /** True where what the holder had is void, its tokens included. */
  readonly reset: boolean;
}

/** What a steward answers. */
export interface ShareReply {
  /** Number of the message that is answered. */
  readonly sync: number;
  readonly epoch: number;
  /** Grows each time the steward takes a team over. */
  readonly session: number;
  readonly ttlMs: Millis;
  readonly grants: readonly TeamGrant[];
  /** Teams for which this host may not act as steward now. */
  readonly declined: readonly TeamId[];
}
