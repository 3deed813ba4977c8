import type { Millis } from '@camphorvane/core';
import { findMember, type PastEpoch } from './GroupRecord.ts';
import { memberKey } from './MemberIdentity.ts';
import type { MembershipRules, MembershipSettings } from './MembershipSettings.ts';
import { hasEnded, getKnownEpoch, type MemberState } from './MemberState.ts';
import { chooseCoordinator } from './chooseCoordinator.ts';

/** Tells whether this incarnation is a member of the newest epoch that it knows. */
export function isMember(state: MemberState): boolean {
  return state.record !== undefined && findMember(state.record.members, state.self) !== undefined;
}

/**
 * Gets the expiry of a member's permission to act.
 *
 * A partitioned or paused host cannot be told to stop and must do so by its own clock; other hosts
 * wait at least as long before they take over from it.
 *
 * @returns A time on the member's clock, or undefined if it may not act at all.
 */
export function getActExpiry(state: MemberState, settings: MembershipSettings): Millis | undefined {
  if (state.intent === 'leave' || !isMember(state)) return undefined;
  return state.confirmedAt === undefined ? undefined : state.confirmedAt + settings.actForMs;
}

/** Tells whether a member may act now. */
export function mayAct(state: MemberState, settings: MembershipSettings, now: Millis): boolean {
  const until = getActExpiry(state, settings);
  return until !== undefined && now < until;
}

/**
 * Gets the latest time as of which a majority, including the member itself, has vouched.
 *
 * For a quorum of k this is the k-th latest send time, as a majority is only as fresh as its oldest
 * vouch.
 */
function majorityVouchedAt(
  state: MemberState,
  rules: MembershipRules,
  now: Millis,
): Millis | undefined {
  const { record } = state;
  if (record === undefined) return undefined;
  const self = memberKey(state.self);
  const times = record.members.flatMap((member) => {
    if (memberKey(member) === self) return [now];
    const vouch = state.peers[memberKey(member)]?.vouch;
    return vouch?.epoch === record.epoch ? [vouch.sentAt] : [];
  });
  return times.sort((a, b) => b - a)[rules.quorum(record.members.length) - 1];
}

/** Records a time at which the epoch was confirmed to be the newest. */
export function withConfirmation(state: MemberState, at: Millis): MemberState {
  return { ...state, confirmedAt: Math.max(at, state.confirmedAt ?? at) };
}

/** Renews the confirmation from the vouches of a majority. */
export function withVouches(state: MemberState, rules: MembershipRules, now: Millis): MemberState {
  if (!isMember(state) || state.intent === 'leave') return state;
  const at = majorityVouchedAt(state, rules, now);
  return at === undefined ? state : withConfirmation(state, at);
}

/** Tells whether a majority of an earlier epoch is known to have stopped vouching for it. */
function isClosed(state: MemberState, past: PastEpoch, rules: MembershipRules): boolean {
  const closed = past.members.filter(
    (member) =>
      member.ended || hasEnded(state, member) || getKnownEpoch(state, member) > past.epoch,
  );
  return closed.length >= rules.quorum(past.members.length);
}

/**
 * Records when a majority of the previous epoch is first known to have stopped vouching for it.
 *
 * From then on no member of that epoch gets a new confirmation, and earlier ones expire within T
 * (`actForMs`).
 */
export function withPreviousEpochClosed(
  state: MemberState,
  rules: MembershipRules,
  now: Millis,
): MemberState {
  if (state.record === undefined || state.previousClosedAt !== undefined) return state;
  const before = state.record.lineage.at(-1);
  const closed = before === undefined || isClosed(state, before, rules);
  return closed ? { ...state, previousClosedAt: now } : state;
}

/**
 * Gets the time after which no member acts under any earlier epoch.
 *
 * @returns A time on the member's clock, or undefined while no majority of the previous epoch is
 *   known to have ended it.
 */
export function getSettlingTime(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
): Millis | undefined {
  if (state.record === undefined || state.previousClosedAt === undefined) return undefined;
  if (state.record.lineage.length === 0) return state.previousClosedAt;
  return state.previousClosedAt + rules.takeoverWait(settings);
}

/** Tells whether no member acts under any earlier epoch any more. */
export function isSettled(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): boolean {
  const at = getSettlingTime(state, settings, rules);
  return at !== undefined && now >= at;
}

/** Tells whether a key's coordinator of an earlier epoch is known to have stopped. */
function hasHandedOver(state: MemberState, key: string, past: PastEpoch): boolean {
  const coordinator = chooseCoordinator(key, past.members);
  if (coordinator === undefined || memberKey(coordinator) === memberKey(state.self)) return true;
  if (coordinator.ended || hasEnded(state, coordinator)) return true;
  return getKnownEpoch(state, coordinator) > past.epoch;
}

/**
 * Tells whether this member may now act as the coordinator of a key.
 *
 * Two coordinators of one team would grant its rate twice. After a crash, a new coordinator thus
 * starts only once each earlier one of the key has reported a later epoch or has ended, or after
 * the wait in which even an unreachable host has stopped by its own clock.
 */
export function mayCoordinate(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  key: string,
  now: Millis,
): boolean {
  const { record } = state;
  if (record === undefined || !mayAct(state, settings, now)) return false;
  const coordinator = chooseCoordinator(key, record.members);
  if (coordinator === undefined || memberKey(coordinator) !== memberKey(state.self)) return false;
  if (isSettled(state, settings, rules, now)) return true;
  return record.lineage.every((past) => hasHandedOver(state, key, past));
}
