import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  GroupMember,
  type GroupRecord,
  type MemberIdentity,
  type MemberIntent,
  type PastMember,
  type RecordMember,
  type Welcome,
} from '../../src/index.ts';

export const SETTINGS = DEFAULT_MEMBERSHIP_SETTINGS;

/** Creates the identity of one incarnation of a host. */
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

/** Creates a record; `lineage` lists the members of the earlier epochs, oldest first. */
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

/** Creates a host's reply to a hello. */
export function welcomeOf(host: string, epoch: number, intent: MemberIntent = 'stay'): Welcome {
  return { type: 'welcome', from: identity(host), epoch, intent, silent: [] };
}

/** Starts a member that reads a record at the time `now`. */
export function memberWith(host: string, record: GroupRecord, now: number): GroupMember {
  const member = GroupMember.start('g0', identity(host), SETTINGS, now);
  member.step({ type: 'tick' }, now);
  member.step({ type: 'read', id: 1, outcome: { type: 'found', record, version: 1 } }, now);
  return member;
}

/** Delivers a host's reply to a hello that the member sent at `sentAt`. */
export function deliverWelcome(
  member: GroupMember,
  welcome: Welcome,
  sentAt: number,
  now: number,
): void {
  member.step({ type: 'answered', to: welcome.from, sentAt, message: welcome }, now);
}
