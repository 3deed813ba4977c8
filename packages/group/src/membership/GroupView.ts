import type { HostId, Millis } from '@camphorvane/core';
import { getActExpiry, mayAct, getSettlingTime } from './authority.ts';
import type { RecordMember } from './GroupRecord.ts';
import type { MembershipRules, MembershipSettings } from './MembershipSettings.ts';
import type { MemberState } from './MemberState.ts';
import { chooseCoordinator } from './chooseCoordinator.ts';

/** A host's view of its group at one moment. */
export interface GroupView {
  readonly group: string;
  /** 0 while no record is known. */
  readonly epoch: number;
  readonly members: readonly RecordMember[];
  /** Whether this host may use its shares, reservations, orders and coordinator roles. */
  readonly mayAct: boolean;
  /** Expiry of the permission to act unless renewed, on this host's clock. */
  readonly actUntil?: Millis;
  /**
   * When no member acts under an earlier epoch any more, on this host's clock; absent while
   * unknown. State of unreachable earlier coordinators may be taken over from then on.
   */
  readonly takeoverAt?: Millis;
}

/** Gets a member's view of its group. */
export function createView(
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
    actUntil: getActExpiry(state, settings),
    takeoverAt: getSettlingTime(state, settings, rules),
  };
}

/**
 * Gets the coordinator of a key in a view's epoch; it may not have taken over yet.
 *
 * @param key - A team, a pool part or any other key with a single coordinator.
 * @param view - The host's view of its group.
 * @returns The host, or undefined in an empty group.
 */
export function getCoordinator(key: string, view: Pick<GroupView, 'members'>): HostId | undefined {
  return chooseCoordinator(key, view.members)?.host;
}
