import type { TeamId } from '@camphorvane/core';
import type { CoordinatorContext } from '@camphorvane/group';
import type { PeerAddress } from '../PeerLink.ts';

/** A member of the group, as team rates address it. */
export interface ShareMember {
  /** Member key: the host and its incarnation. */
  readonly key: string;
  readonly address: PeerAddress;
}

/** The group state that team rates depend on; a running host derives it from the membership. */
export interface ShareAuthority {
  /** Gets the member key of this host. */
  self(): string;

  /** Gets the newest epoch known to this host; 0 where it knows none. */
  epoch(): number;

  /** Gets the members of that epoch, this host included. */
  members(): readonly ShareMember[];

  /** Gets the member key of a team's coordinator under that epoch. */
  coordinatorOf(team: TeamId): string | undefined;

  /** Tells whether this host may use the shares it was granted. */
  mayAct(): boolean;

  /** Tells whether this host was a member in every epoch after the given one. */
  isMemberThroughout(since: number): boolean;

  /** Gets the group state that this host needs to answer as a coordinator. */
  getCoordinatorContext(): CoordinatorContext;
}
