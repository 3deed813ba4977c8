import type { Millis } from '@camphorvane/core';
import type { GroupRecord } from './GroupRecord.ts';
import { memberKey, type MemberIdentity, type MemberKey } from './MemberIdentity.ts';
import type { MemberIntent } from './MembershipMessage.ts';

/** What a member knows of one incarnation of another host. */
export interface PeerKnowledge {
  readonly identity: MemberIdentity;
  /** Since when it is known; a newcomer is not silent before it could answer. */
  readonly since: Millis;
  /** Newest epoch that it said it knows: it vouches for none before that. */
  readonly epoch: number;
  readonly intent: MemberIntent;
  /** When the last hello that it answered was sent, on the asker's clock. */
  readonly answeredAt?: Millis;
  /** When a hello of its own last arrived. */
  readonly heardAt?: Millis;
  /** When the last hello was sent for which it vouched, and for which epoch. */
  readonly vouch?: { readonly epoch: number; readonly sentAt: Millis };
  /** Whom it calls silent. */
  readonly silent: readonly MemberKey[];
}

/** A call to the platform that has no answer yet. */
export type PendingCall =
  | { readonly type: 'read'; readonly id: number; readonly sentAt: Millis }
  | {
      readonly type: 'write';
      readonly id: number;
      readonly sentAt: Millis;
      readonly record: GroupRecord;
    };

/** Everything that a member keeps; a plain value, so that a search can fork it. */
export interface MemberState {
  readonly group: string;
  readonly self: MemberIdentity;
  readonly intent: MemberIntent;
  /** The newest record known; it never goes back to a lower epoch. */
  readonly record?: GroupRecord;
  /** When the epoch, or an earlier one, was last known to be the newest. */
  readonly confirmedAt?: Millis;
  /** Since when a majority of the epoch before is known to vouch for it no more. */
  readonly quorumAt?: Millis;
  readonly peers: Readonly<Record<MemberKey, PeerKnowledge>>;
  /** Incarnations that will never act or vouch again. */
  readonly ended: readonly MemberKey[];
  /** Members that the platform's host list has shown. */
  readonly listed: readonly MemberKey[];
  /** Members that the list says are leaving. */
  readonly leavingByList: readonly MemberKey[];
  /** Since when the host list misses a member that it once showed. */
  readonly absentSince: Readonly<Record<MemberKey, Millis>>;
  readonly pending?: PendingCall;
  readonly nextCallId: number;
  readonly nextHelloAt: Millis;
  /** When the group's object was last asked for, and how many reads have failed since one came. */
  readonly lastReadAt?: Millis;
  readonly failedReads: number;
  readonly lastHostsAt?: Millis;
  readonly lastTickAt: Millis;
  /** Since when the members differ from the wanted ones. */
  readonly wantSince?: Millis;
}

/**
 * Gets the state of a host that has just started and knows nothing.
 *
 * @param group - The group it belongs to.
 * @param self - The host.
 * @param now - Its time.
 * @returns The state.
 */
export function initialState(group: string, self: MemberIdentity, now: Millis): MemberState {
  return {
    group,
    self,
    intent: 'stay',
    peers: {},
    ended: [],
    listed: [],
    leavingByList: [],
    absentSince: {},
    nextCallId: 1,
    nextHelloAt: now,
    failedReads: 0,
    lastTickAt: now,
  };
}

/** Tells whether an incarnation is known never to act or vouch again. */
export function hasEnded(state: MemberState, member: MemberIdentity): boolean {
  return state.ended.includes(memberKey(member));
}

/** Gets the newest epoch that an incarnation is known to know; the member's own for itself. */
export function knownEpochOf(state: MemberState, member: MemberIdentity): number {
  const key = memberKey(member);
  if (key === memberKey(state.self)) return state.record?.epoch ?? 0;
  return state.peers[key]?.epoch ?? 0;
}
