import type { HostId, Millis } from '@camphorvane/core';
import { actUntil, mayAct, settledAt } from './authority.ts';
import type { RecordMember } from './GroupRecord.ts';
import type { MembershipRules, MembershipSettings } from './MembershipSettings.ts';
import type { MemberState } from './MemberState.ts';
import { stewardAmong } from './stewardAmong.ts';

/** What a host knows of its group at one moment. */
export interface GroupView {
  readonly group: string;
  /** 0 while no record is known. */
  readonly epoch: number;
  readonly members: readonly RecordMember[];
  /** Whether this host may use what the epoch gives it: shares, reservations, stewardship, orders. */
  readonly mayAct: boolean;
  /** When the permission to act ends unless it is renewed, on this host's clock. */
  readonly actUntil?: Millis;
  /**
   * From when on nobody acts under an earlier epoch, on this host's clock; absent while that is
   * unknown. Whatever cannot be asked of an earlier steward may be taken over then.
   */
  readonly takeoverAt?: Millis;
}

/** Gets what a member knows of its group. */
export function viewOf(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): GroupView {
  return {
    group: state.group,
    epoch: state.record?.epoch ?? 0,
    members: state.record?.members ?? [],
    mayAct: mayAct(state, settings, now),
    actUntil: actUntil(state, settings),
    takeoverAt: settledAt(state, settings, rules),
  };
}

/**
 * Gets the steward of a key under a view's epoch; it may not have taken over yet.
 *
 * @param key - A team, a pool part or whatever else has one steward.
 * @param view - What a host knows of its group.
 * @returns The host, or undefined in an empty group.
 */
export function stewardOf(key: string, view: Pick<GroupView, 'members'>): HostId | undefined {
  return stewardAmong(key, view.members)?.host;
}
