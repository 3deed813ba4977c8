import type { HostId, Incarnation, ZoneId } from '@camphorvane/core';

/** One incarnation of a host as a member of a group. */
export interface MemberIdentity {
  readonly host: HostId;
  /** Unique to each start of the host, so that a restarted host is a different member. */
  readonly incarnation: Incarnation;
  /** Address for peers, `ip:port`; only one running process can bind this port. */
  readonly peerAddress: string;
  /** Address for callers, `ip:port`. */
  readonly callerAddress: string;
  readonly zone: ZoneId;
}

/** Identifies one incarnation of one host; see {@link memberKey}. */
export type MemberKey = string;

/**
 * Gets the key of an incarnation.
 *
 * @param member - The host and its incarnation.
 * @returns A key unique among all incarnations of all hosts.
 */
export function memberKey(member: Pick<MemberIdentity, 'host' | 'incarnation'>): MemberKey {
  return `${member.host}/${member.incarnation}`;
}
