import type { Millis } from '@camphorvane/core';
import { findMember, type GroupRecord } from './GroupRecord.ts';
import type { ListedHost } from './MemberInput.ts';
import { memberKey, type MemberIdentity, type MemberKey } from './MemberIdentity.ts';
import type { Hello, MemberIntent, Welcome } from './MembershipMessage.ts';
import type { MembershipSettings } from './MembershipSettings.ts';
import { hasEnded, type MemberState, type PeerKnowledge } from './MemberState.ts';

const INTENT_ORDER: readonly MemberIntent[] = ['stay', 'drain', 'leave'];

/** An incarnation never takes an intent back, so a delayed message must not undo a later one. */
function laterIntent(a: MemberIntent, b: MemberIntent): MemberIntent {
  return INTENT_ORDER.indexOf(a) >= INTENT_ORDER.indexOf(b) ? a : b;
}

function with1(list: readonly MemberKey[], key: MemberKey): readonly MemberKey[] {
  return list.includes(key) ? list : [...list, key].sort();
}

/** Notes that an incarnation will never act or vouch again. */
export function withEnded(state: MemberState, member: MemberIdentity): MemberState {
  return { ...state, ended: with1(state.ended, memberKey(member)) };
}

function peerOf(state: MemberState, identity: MemberIdentity, now: Millis): PeerKnowledge {
  const known = state.peers[memberKey(identity)];
  return known ?? { identity, since: now, epoch: 0, intent: 'stay', silent: [] };
}

function withPeer(state: MemberState, peer: PeerKnowledge): MemberState {
  const peers = { ...state.peers, [memberKey(peer.identity)]: peer };
  const next = { ...state, peers };
  return peer.intent === 'leave' ? withEnded(next, peer.identity) : next;
}

/** Takes in what a hello says of its sender. */
export function withHello(state: MemberState, hello: Hello, now: Millis): MemberState {
  const peer = peerOf(state, hello.from, now);
  return withPeer(state, {
    ...peer,
    epoch: Math.max(peer.epoch, hello.epoch),
    intent: laterIntent(peer.intent, hello.intent),
    heardAt: now,
  });
}

/** Takes in what an answer says of its sender, a vouch included. */
export function withWelcome(
  state: MemberState,
  welcome: Welcome,
  sentAt: Millis,
  now: Millis,
): MemberState {
  const peer = peerOf(state, welcome.from, now);
  const vouches = welcome.epoch === state.record?.epoch && welcome.intent !== 'leave';
  const earlier = peer.vouch?.epoch === welcome.epoch ? peer.vouch.sentAt : sentAt;
  const vouch = { epoch: welcome.epoch, sentAt: Math.max(sentAt, earlier) };
  return withPeer(state, {
    ...peer,
    epoch: Math.max(peer.epoch, welcome.epoch),
    intent: laterIntent(peer.intent, welcome.intent),
    answeredAt: Math.max(sentAt, peer.answeredAt ?? sentAt),
    vouch: vouches ? vouch : peer.vouch,
    silent: welcome.silent,
  });
}

/**
 * Notes that the asked incarnation has ended, where another start of its host answered instead.
 *
 * The asked one was known before the question was sent and the other answered after it, and a port
 * is held by one process at a time, so the asked one ended first. Without this, a group of which a
 * majority restarted in place would wait for incarnations that can never answer.
 */
export function withReplacement(
  state: MemberState,
  asked: MemberIdentity,
  answered: MemberIdentity,
): MemberState {
  const replaced =
    asked.host === answered.host &&
    asked.peerAddress === answered.peerAddress &&
    asked.incarnation !== answered.incarnation;
  return replaced ? withEnded(state, asked) : state;
}

/** Gets everybody whom a record names, in its own epoch or an earlier one. */
function namedIn(record: GroupRecord): readonly MemberIdentity[] {
  return [...record.members, ...record.lineage.flatMap((past) => past.members)];
}

function keepNamed(state: MemberState, record: GroupRecord, now: Millis): MemberState {
  const named = new Set(namedIn(record).map(memberKey));
  const isKept = (key: MemberKey): boolean => named.has(key);
  const peers = Object.entries(state.peers).filter(
    ([key, peer]) => isKept(key) || peer.heardAt === now || peer.answeredAt !== undefined,
  );
  const absent = Object.entries(state.absentSince).filter(([key]) => isKept(key));
  return {
    ...state,
    peers: Object.fromEntries(peers),
    ended: state.ended.filter(isKept),
    listed: state.listed.filter(isKept),
    leavingByList: state.leavingByList.filter(isKept),
    absentSince: Object.fromEntries(absent),
  };
}

/** Notes incarnations of this very host and port that ran before this one. */
function withPredecessors(state: MemberState, record: GroupRecord): MemberState {
  return namedIn(record).reduce((at, member) => withReplacement(at, member, at.self), state);
}

/**
 * Adopts a record where it is newer than the one known; a lower epoch never comes back.
 *
 * @returns The state after, greeting all members at once if the record was adopted.
 */
export function withRecord(state: MemberState, record: GroupRecord, now: Millis): MemberState {
  if (record.group !== state.group || record.epoch <= (state.record?.epoch ?? 0)) return state;
  const self = memberKey(state.self);
  const known = record.members
    .filter((member) => memberKey(member) !== self)
    .reduce((at, member) => withPeer(at, peerOf(at, member, now)), keepNamed(state, record, now));
  const ended = record.lineage
    .flatMap((past) => past.members.filter((member) => member.ended))
    .reduce(withEnded, known);
  const listed = record.members
    .filter((member) => member.listed)
    .reduce((list, member) => with1(list, memberKey(member)), ended.listed);
  const next = { ...ended, listed, record, quorumAt: undefined, nextHelloAt: now };
  return withPredecessors(next, record);
}

/** Drops hosts outside the group that have stopped asking to be let in. */
export function withoutStrangers(
  state: MemberState,
  settings: MembershipSettings,
  now: Millis,
): MemberState {
  const { record } = state;
  if (record === undefined) return state;
  const named = new Set(namedIn(record).map(memberKey));
  const kept = Object.entries(state.peers).filter(
    ([key, peer]) => named.has(key) || now - (peer.heardAt ?? peer.since) <= settings.suspectMs,
  );
  if (kept.length === Object.keys(state.peers).length) return state;
  return { ...state, peers: Object.fromEntries(kept) };
}

function isShown(hosts: readonly ListedHost[], member: MemberIdentity): boolean {
  return hosts.some((host) => host.id === member.host && host.peerAddress === member.peerAddress);
}

function isAnswering(state: MemberState, member: MemberIdentity, since: Millis): boolean {
  const answeredAt = state.peers[memberKey(member)]?.answeredAt;
  return answeredAt !== undefined && answeredAt >= since;
}

function withListEntry(
  state: MemberState,
  member: MemberIdentity,
  hosts: readonly ListedHost[],
  settings: MembershipSettings,
  now: Millis,
): MemberState {
  const key = memberKey(member);
  if (isShown(hosts, member)) {
    const { [key]: dropped, ...absentSince } = state.absentSince;
    return { ...state, absentSince, listed: with1(state.listed, key) };
  }
  if (!state.listed.includes(key)) return state;
  const since = state.absentSince[key] ?? now;
  const next = { ...state, absentSince: { ...state.absentSince, [key]: since } };
  const isGone = now - since >= settings.goneAfterMs && !isAnswering(state, member, since);
  return isGone ? withEnded(next, member) : next;
}

/**
 * Takes in the platform's host list.
 *
 * The list lags and its copies may disagree, so that only a host which it once showed, and then
 * missed for longer than the lag, counts as gone. This is the one way out when every member of a
 * group was replaced at once: nobody is left to say that the old epoch is over. An empty list is
 * taken as a fault of the platform, since at least the reader runs.
 */
export function withHostList(
  state: MemberState,
  hosts: readonly ListedHost[],
  settings: MembershipSettings,
  now: Millis,
): MemberState {
  const { record } = state;
  if (record === undefined || hosts.length === 0) return state;
  const leaving = hosts.filter((host) => host.state === 'leaving');
  const leavingByList = namedIn(record)
    .filter((member) => isShown(leaving, member))
    .reduce<readonly MemberKey[]>((list, member) => with1(list, memberKey(member)), []);
  const strangers = Object.values(state.peers).map((peer) => peer.identity);
  return [...namedIn(record), ...strangers]
    .filter((member) => memberKey(member) !== memberKey(state.self))
    .concat(state.self)
    .reduce((at, member) => withListEntry(at, member, hosts, settings, now), {
      ...state,
      leavingByList,
    });
}

/**
 * Starts counting silence anew after the member itself did not run for a while.
 *
 * A paused process that wakes finds every peer silent, though the pause was its own; it must not
 * have them removed.
 */
export function withWaking(
  state: MemberState,
  settings: MembershipSettings,
  now: Millis,
): MemberState {
  const slept = now - state.lastTickAt > settings.suspectMs / 2;
  if (!slept) return { ...state, lastTickAt: now };
  const peers = Object.entries(state.peers).map(([key, peer]) => [key, { ...peer, since: now }]);
  return { ...state, lastTickAt: now, peers: Object.fromEntries(peers) };
}

/** Gets the members that have not answered for long. */
export function silentMembers(
  state: MemberState,
  settings: MembershipSettings,
  now: Millis,
): readonly MemberKey[] {
  const members = state.record?.members ?? [];
  return members.map(memberKey).filter((key) => {
    const peer = state.peers[key];
    if (peer === undefined) return false;
    return now - Math.max(peer.since, peer.answeredAt ?? peer.since) > settings.suspectMs;
  });
}

/** Tells whether a member answered lately and is not known to have ended. */
export function isHeard(
  state: MemberState,
  member: MemberIdentity,
  settings: MembershipSettings,
  now: Millis,
): boolean {
  if (memberKey(member) === memberKey(state.self)) return true;
  const answeredAt = state.peers[memberKey(member)]?.answeredAt;
  if (answeredAt === undefined || hasEnded(state, member)) return false;
  return now - answeredAt <= settings.suspectMs;
}

/** Tells whether this member stands in a record. */
export function isNamed(record: GroupRecord, member: MemberIdentity): boolean {
  return findMember(record.members, member) !== undefined;
}
