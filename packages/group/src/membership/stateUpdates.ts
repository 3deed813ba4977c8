import type { Millis } from '@camphorvane/core';
import { findMember, type GroupRecord } from './GroupRecord.ts';
import type { ListedHost } from './MemberInput.ts';
import { memberKey, type MemberIdentity, type MemberKey } from './MemberIdentity.ts';
import type { Hello, MemberIntent, Welcome } from './MembershipMessage.ts';
import type { MembershipSettings } from './MembershipSettings.ts';
import { hasEnded, type MemberState, type PeerState } from './MemberState.ts';

const INTENT_ORDER: readonly MemberIntent[] = ['stay', 'drain', 'leave'];

/** Intents are never withdrawn, so a delayed message must not undo a later one. */
function laterIntent(a: MemberIntent, b: MemberIntent): MemberIntent {
  return INTENT_ORDER.indexOf(a) >= INTENT_ORDER.indexOf(b) ? a : b;
}

function withKey(list: readonly MemberKey[], key: MemberKey): readonly MemberKey[] {
  return list.includes(key) ? list : [...list, key].sort();
}

/** Records that an incarnation will never act or vouch again. */
export function withEnded(state: MemberState, member: MemberIdentity): MemberState {
  return { ...state, ended: withKey(state.ended, memberKey(member)) };
}

function getOrCreatePeer(state: MemberState, identity: MemberIdentity, now: Millis): PeerState {
  const known = state.peers[memberKey(identity)];
  return known ?? { identity, since: now, epoch: 0, intent: 'stay', silent: [] };
}

function withPeer(state: MemberState, peer: PeerState): MemberState {
  const peers = { ...state.peers, [memberKey(peer.identity)]: peer };
  const next = { ...state, peers };
  return peer.intent === 'leave' ? withEnded(next, peer.identity) : next;
}

/** Applies a hello to the state of its sender. */
export function withHello(state: MemberState, hello: Hello, now: Millis): MemberState {
  const peer = getOrCreatePeer(state, hello.from, now);
  return withPeer(state, {
    ...peer,
    epoch: Math.max(peer.epoch, hello.epoch),
    intent: laterIntent(peer.intent, hello.intent),
    heardAt: now,
  });
}

/** Applies a reply, which may contain a vouch, to the state of its sender. */
export function withWelcome(
  state: MemberState,
  welcome: Welcome,
  sentAt: Millis,
  now: Millis,
): MemberState {
  const peer = getOrCreatePeer(state, welcome.from, now);
  const isVouch = welcome.epoch === state.record?.epoch && welcome.intent !== 'leave';
  const earlier = peer.vouch?.epoch === welcome.epoch ? peer.vouch.sentAt : sentAt;
  const vouch = { epoch: welcome.epoch, sentAt: Math.max(sentAt, earlier) };
  return withPeer(state, {
    ...peer,
    epoch: Math.max(peer.epoch, welcome.epoch),
    intent: laterIntent(peer.intent, welcome.intent),
    answeredAt: Math.max(sentAt, peer.answeredAt ?? sentAt),
    vouch: isVouch ? vouch : peer.vouch,
    silent: welcome.silent,
  });
}

/**
 * Records that an incarnation has ended if another incarnation of its host answered in its place.
 *
 * The asked one was known before the hello was sent, and only one process can bind the port, so it
 * must have ended. Without this, a group of which a majority restarted in place would wait for
 * incarnations that can never answer.
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

/** Gets all incarnations in a record, of its own epoch and of earlier ones. */
function getAllMembers(record: GroupRecord): readonly MemberIdentity[] {
  return [...record.members, ...record.lineage.flatMap((past) => past.members)];
}

function retainMembersOf(state: MemberState, record: GroupRecord, now: Millis): MemberState {
  const named = new Set(getAllMembers(record).map(memberKey));
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

/** Records earlier incarnations of this host and port as ended. */
function withPredecessors(state: MemberState, record: GroupRecord): MemberState {
  return getAllMembers(record).reduce((at, member) => withReplacement(at, member, at.self), state);
}

/**
 * Adopts a record if its epoch is higher than the known one.
 *
 * @returns The next state; if the record was adopted, heartbeats to all members are due at once.
 */
export function withRecord(state: MemberState, record: GroupRecord, now: Millis): MemberState {
  if (record.group !== state.group || record.epoch <= (state.record?.epoch ?? 0)) return state;
  const self = memberKey(state.self);
  const known = record.members
    .filter((member) => memberKey(member) !== self)
    .reduce(
      (at, member) => withPeer(at, getOrCreatePeer(at, member, now)),
      retainMembersOf(state, record, now),
    );
  const ended = record.lineage
    .flatMap((past) => past.members.filter((member) => member.ended))
    .reduce(withEnded, known);
  const listed = record.members
    .filter((member) => member.listed)
    .reduce((list, member) => withKey(list, memberKey(member)), ended.listed);
  const next = { ...ended, listed, record, previousClosedAt: undefined, nextHelloAt: now };
  return withPredecessors(next, record);
}

/** Drops hosts outside the group that have stopped asking to join. */
export function withoutStaleApplicants(
  state: MemberState,
  settings: MembershipSettings,
  now: Millis,
): MemberState {
  const { record } = state;
  if (record === undefined) return state;
  const named = new Set(getAllMembers(record).map(memberKey));
  const kept = Object.entries(state.peers).filter(
    ([key, peer]) =>
      named.has(key) || now - (peer.heardAt ?? peer.since) <= settings.suspectTimeoutMs,
  );
  if (kept.length === Object.keys(state.peers).length) return state;
  return { ...state, peers: Object.fromEntries(kept) };
}

function isInHostList(hosts: readonly ListedHost[], member: MemberIdentity): boolean {
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
  if (isInHostList(hosts, member)) {
    const { [key]: dropped, ...absentSince } = state.absentSince;
    return { ...state, absentSince, listed: withKey(state.listed, key) };
  }
  if (!state.listed.includes(key)) return state;
  const since = state.absentSince[key] ?? now;
  const next = { ...state, absentSince: { ...state.absentSince, [key]: since } };
  const isGone = now - since >= settings.goneAfterMs && !isAnswering(state, member, since);
  return isGone ? withEnded(next, member) : next;
}

/**
 * Applies the platform's host list.
 *
 * The list lags and its replicas may disagree, so a host counts as gone only if it was listed
 * before and then missing for longer than the lag. When all members of a group are replaced at
 * once, this is the only way to end the old epoch, as no member is left to report it. An empty list
 * is treated as a platform fault, since at least the reader is running.
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
  const leavingByList = getAllMembers(record)
    .filter((member) => isInHostList(leaving, member))
    .reduce<readonly MemberKey[]>((list, member) => withKey(list, memberKey(member)), []);
  const knownPeers = Object.values(state.peers).map((peer) => peer.identity);
  return [...getAllMembers(record), ...knownPeers]
    .filter((member) => memberKey(member) !== memberKey(state.self))
    .concat(state.self)
    .reduce((at, member) => withListEntry(at, member, hosts, settings, now), {
      ...state,
      leavingByList,
    });
}

/**
 * Restarts the peers' timeouts after this process was paused.
 *
 * To a process that was paused, every peer seems timed out; it must not have them removed.
 */
export function withPauseDetection(
  state: MemberState,
  settings: MembershipSettings,
  now: Millis,
): MemberState {
  const wasPaused = now - state.lastTickAt > settings.suspectTimeoutMs / 2;
  if (!wasPaused) return { ...state, lastTickAt: now };
  const peers = Object.entries(state.peers).map(([key, peer]) => [key, { ...peer, since: now }]);
  return { ...state, lastTickAt: now, peers: Object.fromEntries(peers) };
}

/** Gets the members that are timed out. */
export function getTimedOutMembers(
  state: MemberState,
  settings: MembershipSettings,
  now: Millis,
): readonly MemberKey[] {
  const members = state.record?.members ?? [];
  return members.map(memberKey).filter((key) => {
    const peer = state.peers[key];
    if (peer === undefined) return false;
    return now - Math.max(peer.since, peer.answeredAt ?? peer.since) > settings.suspectTimeoutMs;
  });
}

/** Tells whether a member has answered within the timeout and is not known to have ended. */
export function isResponsive(
  state: MemberState,
  member: MemberIdentity,
  settings: MembershipSettings,
  now: Millis,
): boolean {
  if (memberKey(member) === memberKey(state.self)) return true;
  const answeredAt = state.peers[memberKey(member)]?.answeredAt;
  if (answeredAt === undefined || hasEnded(state, member)) return false;
  return now - answeredAt <= settings.suspectTimeoutMs;
}

/** Tells whether an incarnation is a member in a record. */
export function isMemberOf(record: GroupRecord, member: MemberIdentity): boolean {
  return findMember(record.members, member) !== undefined;
}
