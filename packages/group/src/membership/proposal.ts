import type { Millis } from '@camphorvane/core';
import type { GroupRecord, PastEpoch, RecordMember } from './GroupRecord.ts';
import { isSettled } from './authority.ts';
import { isResponsive, isMemberOf, getTimedOutMembers } from './stateUpdates.ts';
import { memberKey, type MemberIdentity, type MemberKey } from './MemberIdentity.ts';
import type { MembershipRules, MembershipSettings } from './MembershipSettings.ts';
import { hasEnded, type MemberState } from './MemberState.ts';

/** Most earlier epochs in a record; further changes wait until some have settled. */
const MAX_LINEAGE = 8;

/** Largest back-off factor after failed reads. */
const MAX_BACKOFF = 16;

/**
 * Gets the members that a majority considers timed out.
 *
 * One report is not enough: if only the path between two members is broken, one of them would
 * remove the other again and again.
 */
function findTimedOutByMajority(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): readonly MemberKey[] {
  const members = state.record?.members ?? [];
  const reports = members.map((member) => {
    if (memberKey(member) === memberKey(state.self))
      return getTimedOutMembers(state, settings, now);
    const isFresh = isResponsive(state, member, settings, now);
    return isFresh ? (state.peers[memberKey(member)]?.silent ?? []) : [];
  });
  return members
    .map(memberKey)
    .filter(
      (key) =>
        reports.filter((silent) => silent.includes(key)).length >= rules.quorum(members.length),
    );
}

function isDraining(state: MemberState, member: MemberIdentity): boolean {
  const key = memberKey(member);
  if (state.leavingByList.includes(key)) return true;
  const intent = key === memberKey(state.self) ? state.intent : state.peers[key]?.intent;
  return intent === 'drain';
}

function toRecordMember(state: MemberState, member: MemberIdentity): RecordMember {
  const { host, incarnation, peerAddress, callerAddress, zone } = member;
  const listed = state.listed.includes(memberKey(member));
  const draining = isDraining(state, member);
  return { host, incarnation, peerAddress, callerAddress, zone, draining, listed };
}

/** Gets the hosts outside the group that ask to join, including this host. */
function getApplicants(
  state: MemberState,
  settings: MembershipSettings,
  now: Millis,
): readonly MemberIdentity[] {
  const { record } = state;
  if (record === undefined) return [];
  const peers = Object.values(state.peers)
    .filter(
      (peer) =>
        peer.intent === 'stay' &&
        peer.heardAt !== undefined &&
        now - peer.heardAt <= settings.suspectTimeoutMs &&
        !hasEnded(state, peer.identity) &&
        !isMemberOf(record, peer.identity),
    )
    .map((peer) => peer.identity);
  const isOutside = state.intent === 'stay' && !isMemberOf(record, state.self);
  const all = isOutside ? [...peers, state.self] : peers;
  return [...all].sort((a, b) => (memberKey(a) < memberKey(b) ? -1 : 1));
}

/**
 * Gets the members that the group should have, as far as this host knows.
 *
 * A restarted host joins only after its earlier incarnation is removed, because keys are placed by
 * host id and both incarnations would coordinate the same keys.
 */
export function wantedMembers(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): readonly RecordMember[] {
  if (state.record === undefined) return [];
  const silent = findTimedOutByMajority(state, settings, rules, now);
  const isLeaving = (member: MemberIdentity): boolean =>
    state.intent === 'leave' && memberKey(member) === memberKey(state.self);
  const staying = state.record.members.filter(
    (member) =>
      !hasEnded(state, member) && !silent.includes(memberKey(member)) && !isLeaving(member),
  );
  return getApplicants(state, settings, now)
    .reduce<readonly MemberIdentity[]>((members, applicant) => {
      const isTaken = members.some((member) => member.host === applicant.host);
      return isTaken || members.length >= settings.maxMembers ? members : [...members, applicant];
    }, staying)
    .map((member) => toRecordMember(state, member));
}

function haveSameMembers(a: readonly RecordMember[], b: readonly RecordMember[]): boolean {
  return (
    a.length === b.length &&
    a.every((member, index) => {
      const other = b[index];
      return (
        other !== undefined &&
        memberKey(member) === memberKey(other) &&
        member.draining === other.draining &&
        member.listed === other.listed
      );
    })
  );
}

/** Records when the group's members first differed from those that it should have. */
export function withChangeWanted(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): MemberState {
  if (state.record === undefined) return state;
  const isAsWanted = haveSameMembers(
    wantedMembers(state, settings, rules, now),
    state.record.members,
  );
  if (isAsWanted === (state.changeWantedSince === undefined)) return state;
  return { ...state, changeWantedSince: isAsWanted ? undefined : now };
}

/**
 * Tells whether the next epoch may be written now.
 *
 * Safety: a majority of the previous epoch has stopped vouching for it, so that by induction no
 * earlier epoch can be confirmed any more and the next record needs to list only a few. Liveness: a
 * majority of the current epoch is reachable, without which the next epoch could not take over; a
 * partitioned minority that still reaches the platform must not remove the others.
 */
export function mayWrite(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): boolean {
  const { record } = state;
  if (record === undefined) return false;
  if (rules.chained && state.previousClosedAt === undefined) return false;
  const lineage = nextLineage(state, record, settings, rules, now);
  if (lineage.length > MAX_LINEAGE) return false;
  const reachable = record.members.filter(
    (member) => hasEnded(state, member) || isResponsive(state, member, settings, now),
  );
  return reachable.length >= rules.quorum(record.members.length);
}

/** Gets this host's rank among the reachable members; the first one writes first. */
function writerRank(state: MemberState, settings: MembershipSettings, now: Millis): number {
  const live = (state.record?.members ?? []).filter((member) => {
    const isSelf = memberKey(member) === memberKey(state.self);
    return isSelf ? state.intent !== 'leave' : isResponsive(state, member, settings, now);
  });
  const rank = live.findIndex((member) => memberKey(member) === memberKey(state.self));
  return rank < 0 ? live.length : rank;
}

/** Tells whether this host should now read the record in order to write the next epoch. */
export function isWriteDue(
  state: MemberState,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): boolean {
  if (state.changeWantedSince === undefined || !mayWrite(state, settings, rules, now)) return false;
  const rank = writerRank(state, settings, now);
  const delayMs = rank === 0 ? 0 : (rank + settings.jitter) * settings.writeStaggerMs;
  return now >= state.changeWantedSince + delayMs;
}

function nextLineage(
  state: MemberState,
  record: GroupRecord,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): readonly PastEpoch[] {
  const earlier = isSettled(state, settings, rules, now) ? [] : record.lineage;
  const current = { epoch: record.epoch, members: record.members };
  return [...earlier, current].map((past) => ({
    epoch: past.epoch,
    members: past.members.map((member) => ({
      ...member,
      ended: ('ended' in member && member.ended) || hasEnded(state, member),
    })),
  }));
}

/** Creates the record of the next epoch. */
export function nextRecord(
  state: MemberState,
  record: GroupRecord,
  settings: MembershipSettings,
  rules: MembershipRules,
  now: Millis,
): GroupRecord {
  return {
    group: state.group,
    epoch: record.epoch + 1,
    members: wantedMembers(state, settings, rules, now),
    lineage: nextLineage(state, record, settings, rules, now),
    nonce: `${memberKey(state.self)}#${state.nextCallId}`,
  };
}

/** Creates the first record of a group. */
export function firstRecord(state: MemberState): GroupRecord {
  return {
    group: state.group,
    epoch: 1,
    members: [toRecordMember(state, state.self)],
    lineage: [],
    nonce: `${memberKey(state.self)}#${state.nextCallId}`,
  };
}

/** Gets the exponential back-off between failed reads, which avoids a burst after an outage. */
export function getReadBackoffMs(state: MemberState, settings: MembershipSettings): Millis {
  const factor = Math.min(MAX_BACKOFF, 2 ** state.failedReads);
  return settings.urgentReadIntervalMs * factor * (1 + settings.jitter / 2);
}
