import type { GroupRecord } from './GroupRecord.ts';
import type { MemberIdentity, MemberKey } from './MemberIdentity.ts';

/**
 * What a host means to do. `leave` is a promise: this incarnation neither acts nor vouches again.
 */
export type MemberIntent = 'stay' | 'drain' | 'leave';

/** Asks a peer to vouch for the sender's epoch; a host outside asks with it to be let in. */
export interface Hello {
  readonly type: 'hello';
  readonly group: string;
  readonly from: MemberIdentity;
  /** The newest epoch that the sender knows; 0 where it knows none. */
  readonly epoch: number;
  readonly intent: MemberIntent;
}

/** Answers a {@link Hello}; it vouches for its sender's epoch where both epochs are equal. */
export interface Welcome {
  readonly type: 'welcome';
  readonly from: MemberIdentity;
  readonly epoch: number;
  readonly intent: MemberIntent;
  /** Members from whom the sender has had no answer for long. */
  readonly silent: readonly MemberKey[];
  /** The sender's record, where it is newer than the asker's. */
  readonly record?: GroupRecord;
}

/** Everything that members say to each other about membership. */
export type MembershipMessage = Hello | Welcome;
