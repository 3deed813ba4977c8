import type { Millis } from '@camphorvane/core';
import { findMember, type PastEpoch } from './GroupRecord.ts';
import { memberKey } from './MemberIdentity.ts';
import type { MembershipRules, MembershipSettings } from './MembershipSettings.ts';
import { hasEnded, knownEpochOf, type MemberState } from './MemberState.ts';
import { stewardAmong } from './stewardAmong.ts';

/** Tells whether this incarnation is a member of the newest epoch that it knows. */
export function isMember(state: MemberState): boolean {
  return state.record !== undefined && findMember(state.record.members, state.self) !== undefined;
}

/**
 * Gets until when a member may act as such.
 *
 * A host that is cut off or paused must stop by itself, since nobody can tell it: it has nothing
 * but its own clock. Others wait for this span before they take over what it held.
 *
 * @returns A time of the member's clock, or undefined where it may not act at all.
 */
export function actUntil(state: MemberState, settings: MembershipSettings): Millis | undefined {
  if (state.intent === 'leave' || !isMember(state)) return undefined;
  return state.confirmedAt === undefined ? undefined : state.confirmedAt + settings.actForMs;
}

/** Tells whether a member may act now. */
export function mayAct(state: MemberState, settings: MembershipSettings, now: Millis): boolean {
  const until = actUntil(state, settings);
  return until !== undefined && now < until;
}

/**
 * Works out the latest time at which a majority, the member itself included, vouched.
 *
 * The k-th latest sending time is the one that counts: the majority as a whole is only as fresh as
 * its oldest vouch.
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

/** Takes a time at which the epoch was known to be the newest. */
export function withConfirmation(state: MemberState, at: Millis): MemberState {
  return { ...state, confirmedAt: Math.max(at, state.confirmedAt ?? at) };
}

/** Takes the vouches of the majority into account. */
export function withVouches(state: MemberState, rules: MembershipRules, now: Millis): MemberState {
  if (!isMember(state) || state.intent === 'leave') return state;
  const at = majorityVouchedAt(state, rules, now);
  return at === undefined ? state : withConfirmation(state, at);
}

/** Tells whether a majority of an earlier epoch is known to vouch for it no more. */
function isClosed(state: MemberState, past: PastEpoch, rules: MembershipRules): boolean {
  const closed = past.members.filter(
    (member) => member.ended || hasEnded(state, member) || knownEpochOf(state, member) > past.epoch,
  );
  return closed.length >= rules.quorum(past.members.length);
}

/**
 * Notes when a majority of the epoch before is first known to vouch for it no more.
 *
 * From then on no member of that epoch gets a new confirmation, and those it has run out by T.
 */
export function withClosing(state: MemberState, rules: MembershipRules, now: Millis): MemberState {
  if (state.record === undefined || state.quorumAt !== undefined) return state;
  const before = state.record.lineage.at(-1);
  const closed = before === undefined || isClosed(state, before, rules);
  return closed ? { ...state, quorumAt: now } : state;
}

/**
 * Gets from when on nobody acts under any earlier epoch.
 *
 * @returns A time of the member's clock, or undefined while no majority of the epoch before has
 *   been heard of.
 */
export function settledAt(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
): Millis | undefined {
  if (state.record === undefined || state.quorumAt === undefined) return undefined;
  if (state.record.lineage.length === 0) return state.quorumAt;
  return state.quorumAt + rules.takeoverWait(settings);
}

/** Tells whether nobody acts under any earlier epoch. */
export function isSettled(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): boolean {
  const at = settledAt(state, settings, rules);
  return at !== undefined && now >= at;
}

/** Tells whether the steward that a key had under an earlier epoch is known to have stopped. */
function handedOver(state: MemberState, key: string, past: PastEpoch): boolean {
  const steward = stewardAmong(key, past.members);
  if (steward === undefined || memberKey(steward) === memberKey(state.self)) return true;
  if (steward.ended || hasEnded(state, steward)) return true;
  return knownEpochOf(state, steward) > past.epoch;
}

/**
 * Tells whether this member may act as a key's steward now.
 *
 * Made for the moment after a host crashed: two stewards of one team would grant its rate twice. So
 * a new steward starts only when each earlier one of the key has said that it knows a later epoch,
 * or when the wait is over after which even a host unheard of has stopped by its own clock.
 */
export function maySteward(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  key: string,
  now: Millis,
): boolean {
  const { record } = state;
  if (record === undefined || !mayAct(state, settings, now)) return false;
  const steward = stewardAmong(key, record.members);
  if (steward === undefined || memberKey(steward) !== memberKey(state.self)) return false;
  if (isSettled(state, settings, rules, now)) return true;
  return record.lineage.every((past) => handedOver(state, key, past));
}
