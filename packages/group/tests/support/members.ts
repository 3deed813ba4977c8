import {
  DEFAULT_MEMBERSHIP,
  GroupMember,
  type GroupRecord,
  type MemberIdentity,
  type MemberIntent,
  type PastMember,
  type RecordMember,
  type Welcome,
} from '../../src/index.ts';

export const SETTINGS = DEFAULT_MEMBERSHIP;

/** Makes the identity of a host's start. */
export function identity(host: string, incarnation = 'i1'): MemberIdentity {
  return {
    host,
    incarnation,
    peerAddress: `${host}:7000`,
    callerAddress: `${host}:8000`,
    zone: 'north',
  };
}

function asMember(host: string): RecordMember {
  return { ...identity(host), draining: false, listed: true };
}

function asPast(host: string): PastMember {
  return { ...asMember(host), ended: false };
}

/** Makes a record; `lineage` lists the members of the epochs before it, oldest first. */
export function recordOf(
  epoch: number,
  hosts: readonly string[],
  lineage: readonly (readonly string[])[] = [],
): GroupRecord {
  return {
    group: 'g0',
    epoch,
    members: hosts.map(asMember),
    lineage: lineage.map((past, index) => ({
      epoch: epoch - lineage.length + index,
      members: past.map(asPast),
    })),
    nonce: `n${epoch}`,
  };
}

/** Makes an answer of a host. */
export function welcomeOf(host: string, epoch: number, intent: MemberIntent = 'stay'): Welcome {
  return { type: 'welcome', from: identity(host), epoch, intent, silent: [] };
}

/** Starts a member that reads a record at a time. */
export function memberWith(host: string, record: GroupRecord, now: number): GroupMember {
  const member = GroupMember.start('g0', identity(host), SETTINGS, now);
  member.step({ type: 'tick' }, now);
  member.step({ type: 'read', id: 1, outcome: { type: 'found', record, version: 1 } }, now);
  return member;
}

/** Has a member hear a host's answer to a hello sent at a time. */
export function hear(member: GroupMember, welcome: Welcome, sentAt: number, now: number): void {
  member.step({ type: 'answered', to: welcome.from, sentAt, message: welcome }, now);
}
