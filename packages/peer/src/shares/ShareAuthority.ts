import type { TeamId } from '@camphorvane/core';
import type { CoordinatorContext } from '@camphorvane/group';
import type { PeerAddress } from '../PeerLink.ts';

/** A member of the group as rates see it. */
export interface ShareMember {
  /** Names this start of the host. */
  readonly key: string;
  readonly address: PeerAddress;
}

/** What rates need to know of the group; membership gives it in a running host. */
export interface ShareAuthority {
  /** Gets the key of this start of this host. */
  self(): string;

  /** Gets the newest epoch known. */
  epoch(): number;

  /** Gets the members of that epoch, this host included. */
  members(): readonly ShareMember[];

  /** Gets the key of a team's steward under that epoch. */
  stewardOf(team: TeamId): string | undefined;

  /** Tells whether this host may use what it was given. */
  mayAct(): boolean;

  /** Tells whether this host was a member in every epoch after the given one. */
  memberThroughout(since: number): boolean;

  /** Gets what this host must know when it answers as a steward. */
  context(): CoordinatorContext;
}
