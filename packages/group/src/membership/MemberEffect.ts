import type { Millis } from '@camphorvane/core';
import type { GroupRecord } from './GroupRecord.ts';
import type { MemberIdentity } from './MemberIdentity.ts';
import type { Hello, Welcome } from './MembershipMessage.ts';

/** Actions that a member requests; `read`, `write` and `read_hosts` each get one input back. */
export type MemberEffect =
  | {
      readonly type: 'ask';
      readonly to: MemberIdentity;
      readonly sentAt: Millis;
      readonly message: Hello;
    }
  | { readonly type: 'reply'; readonly message: Welcome }
  | { readonly type: 'read'; readonly id: number }
  | {
      readonly type: 'write';
      readonly id: number;
      readonly record: GroupRecord;
      readonly expected: number | 'absent';
    }
  | { readonly type: 'read_hosts' };
