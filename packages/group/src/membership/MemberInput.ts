import type { HostId, Millis } from '@camphorvane/core';
import type { GroupRecord } from './GroupRecord.ts';
import type { MemberIdentity } from './MemberIdentity.ts';
import type { Hello, Welcome } from './MembershipMessage.ts';

/** Result of reading the group's stored record. */
export type ReadOutcome =
  | { readonly type: 'found'; readonly record: GroupRecord; readonly version: number }
  | { readonly type: 'absent' }
  | { readonly type: 'failed' };

/** Result of a conditional write; after `unknown` it may have taken effect or may still do so. */
export type WriteOutcome =
  | { readonly type: 'written'; readonly version: number }
  | { readonly type: 'conflict' }
  | { readonly type: 'unknown' };

/** An entry of the platform's host list. */
export interface ListedHost {
  readonly id: HostId;
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** Events that a member handles. */
export type MemberInput =
  | { readonly type: 'tick' }
  | { readonly type: 'asked'; readonly message: Hello }
  | {
      readonly type: 'answered';
      readonly to: MemberIdentity;
      /** When the hello was sent, on the sender's clock, as in its `ask` effect. */
      readonly sentAt: Millis;
      readonly message: Welcome;
    }
  | { readonly type: 'read'; readonly id: number; readonly outcome: ReadOutcome }
  | { readonly type: 'wrote'; readonly id: number; readonly outcome: WriteOutcome }
  | { readonly type: 'hosts'; readonly hosts: readonly ListedHost[] | undefined }
  | { readonly type: 'drain' }
  | { readonly type: 'leave' };
