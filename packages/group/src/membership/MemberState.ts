import type { Millis } from '@camphorvane/core';
import type { GroupRecord } from './GroupRecord.ts';
import { memberKey, type MemberIdentity, type MemberKey } from './MemberIdentity.ts';
import type { MemberIntent } from './MembershipMessage.ts';

/** State that a member keeps of one incarnation of another host. */
export interface PeerState {
  readonly identity: MemberIdentity;
  /** When it became known; a new peer does not time out before it can answer. */
  readonly since: Millis;
  /** Newest epoch that it has reported; it vouches for no earlier one. */
  readonly epoch: number;
  readonly intent: MemberIntent;
  /** When the last hello that it answered was sent, on this host's clock. */
  readonly answeredAt?: Millis;
  /** When its last hello was received. */
  readonly heardAt?: Millis;
  /** Its last vouch: the epoch, and when the hello that it answered was sent. */
  readonly vouch?: { readonly epoch: number; readonly sentAt: Millis };
  /** Members that it considers timed out. */
  readonly silent: readonly MemberKey[];
}

/** A call to the platform in flight. */
export type PendingCall =
  | { readonly type: 'read'; readonly id: number; readonly sentAt: Millis }
  | {
      readonly type: 'write';
      readonly id: number;
      readonly sentAt: Millis;
      readonly record: GroupRecord;
    };

/** State of a member; an immutable value, so that the model checker can branch from it. */
export interface MemberState {
  readonly group: string;
  readonly self: MemberIdentity;
  readonly intent: MemberIntent;
  /** The newest record known; its epoch never decreases. */
  readonly record?: GroupRecord;
  /** When the epoch, or an earlier one, was last known to be the newest. */
  readonly confirmedAt?: Millis;
  /** When a majority of the previous epoch was first known to have stopped vouching for it. */
  readonly previousClosedAt?: Millis;
  readonly peers: Readonly<Record<MemberKey, PeerState>>;
  /** Incarnations that will never act or vouch again. */
  readonly ended: readonly MemberKey[];
  /** Members that have appeared in the platform's host list. */
  readonly listed: readonly MemberKey[];
  /** Members that the host list shows as leaving. */
  readonly leavingByList: readonly MemberKey[];
  /** When a member that was once listed was first found missing from the host list. */
  readonly absentSince: Readonly<Record<MemberKey, Millis>>;
  readonly pending?: PendingCall;
  readonly nextCallId: number;
  readonly nextHelloAt: Millis;
  /** When the last read of the group's record was sent. */
  readonly lastReadAt?: Millis;
  /** Consecutive failed calls to the platform. */
  readonly failedReads: number;
  readonly lastHostsAt?: Millis;
  readonly lastTickAt: Millis;
  /** When the members first differed from the wanted ones. */
  readonly changeWantedSince?: Millis;
}

/**
 * Creates the state of a host that has just started.
 *
 * @param group - The group it belongs to.
 * @param self - The host.
 * @param now - Time on its clock.
 * @returns The initial state.
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

/** Tells whether an incarnation is known to have ended: it will never act or vouch again. */
export function hasEnded(state: MemberState, member: MemberIdentity): boolean {
  return state.ended.includes(memberKey(member));
}

/** Gets the newest epoch that an incarnation has reported; this host's own epoch for itself. */
export function getKnownEpoch(state: MemberState, member: MemberIdentity): number {
  const key = memberKey(member);
  if (key === memberKey(state.self)) return state.record?.epoch ?? 0;
  return state.peers[key]?.epoch ?? 0;
}
