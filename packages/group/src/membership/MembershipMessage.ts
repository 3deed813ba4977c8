import type { GroupRecord } from './GroupRecord.ts';
import type { MemberIdentity, MemberKey } from './MemberIdentity.ts';

/**
 * What a host intends to do; after `leave`, this incarnation neither acts nor vouches ever again.
 */
export type MemberIntent = 'stay' | 'drain' | 'leave';

/** Heartbeat: asks a peer to vouch for the sender's epoch, or to let a host outside join. */
export interface Hello {
  readonly type: 'hello';
  readonly group: string;
  readonly from: MemberIdentity;
  /** The newest epoch that the sender knows; 0 for none. */
  readonly epoch: number;
  readonly intent: MemberIntent;
}

/** Reply to a {@link Hello}; it vouches for the epoch if both hosts know the same one. */
export interface Welcome {
  readonly type: 'welcome';
  readonly from: MemberIdentity;
  readonly epoch: number;
  readonly intent: MemberIntent;
  /** Members that the sender considers timed out. */
  readonly silent: readonly MemberKey[];
  /** The sender's record, if it is newer than that of the receiver. */
  readonly record?: GroupRecord;
}

/** Messages of the membership protocol. */
export type MembershipMessage = Hello | Welcome;
