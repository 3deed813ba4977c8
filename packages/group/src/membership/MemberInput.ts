import type { HostId, Millis } from '@camphorvane/core';
import type { GroupRecord } from './GroupRecord.ts';
import type { MemberIdentity } from './MemberIdentity.ts';
import type { Hello, Welcome } from './MembershipMessage.ts';

/** What a read of the group's object gave. */
export type ReadOutcome =
  | { readonly type: 'found'; readonly record: GroupRecord; readonly version: number }
  | { readonly type: 'absent' }
  | { readonly type: 'failed' };

/** What a conditional write gave; after `unknown` it may have taken effect or may do so later. */
export type WriteOutcome =
  | { readonly type: 'written'; readonly version: number }
  | { readonly type: 'conflict' }
  | { readonly type: 'unknown' };

/** One host of the platform's list. */
export interface ListedHost {
  readonly id: HostId;
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** Everything that can happen to a member. */
export type MemberInput =
  | { readonly type: 'tick' }
  | { readonly type: 'asked'; readonly message: Hello }
  | {
      readonly type: 'answered';
      readonly to: MemberIdentity;
      /** The asker's own time when it asked, as the effect gave it. */
      readonly sentAt: Millis;
      readonly message: Welcome;
    }
  | { readonly type: 'read'; readonly id: number; readonly outcome: ReadOutcome }
  | { readonly type: 'wrote'; readonly id: number; readonly outcome: WriteOutcome }
  | { readonly type: 'hosts'; readonly hosts: readonly ListedHost[] | undefined }
  | { readonly type: 'drain' }
  | { readonly type: 'leave' };
