import type { HostId, Incarnation, ZoneId } from '@camphorvane/core';

/** One start of a host, as it takes part in a group. */
export interface MemberIdentity {
  readonly host: HostId;
  /** Differs for each start of the host, so that a restarted host is another member. */
  readonly incarnation: Incarnation;
  /** Where peers reach it, `ip:port`; a running process holds this port alone. */
  readonly peerAddress: string;
  /** Where callers reach it, `ip:port`. */
  readonly callerAddress: string;
  readonly zone: ZoneId;
}

/** Names one incarnation of one host; see {@link memberKey}. */
export type MemberKey = string;

/**
 * Gets the name of an incarnation.
 *
 * @param member - The host and its incarnation.
 * @returns A text that no other incarnation of any host has.
 */
export function memberKey(member: Pick<MemberIdentity, 'host' | 'incarnation'>): MemberKey {
  return `${member.host}/${member.incarnation}`;
}
