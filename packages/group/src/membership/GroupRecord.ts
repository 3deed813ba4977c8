import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { memberKey, type MemberIdentity } from './MemberIdentity.ts';

/** A member in the group's stored record. */
export interface RecordMember extends MemberIdentity {
  /** True while the host drains: it still vouches, but coordinates no keys if others can. */
  readonly draining: boolean;
  /** True once the host has appeared in the platform's host list; only then does absence count. */
  readonly listed: boolean;
}

/** A member of an earlier epoch. */
export interface PastMember extends MemberIdentity {
  readonly draining: boolean;
  readonly listed: boolean;
  /** Whether the writer knew that this incarnation will never act or vouch again. */
  readonly ended: boolean;
}

/** The members of an earlier epoch, kept until none can act under it any more. */
export interface PastEpoch {
  readonly epoch: number;
  readonly members: readonly PastMember[];
}

/** The stored record of a group in the platform; written only when the membership changes. */
export interface GroupRecord {
  readonly group: string;
  /** Grows by one with each write, so that each epoch has exactly one list of members. */
  readonly epoch: number;
  readonly members: readonly RecordMember[];
  /**
   * Earlier epochs under which some member may still act, oldest first, without gaps, up to
   * `epoch - 1`. All before them had settled when this record was written.
   */
  readonly lineage: readonly PastEpoch[];
  /** Identifies the write, to distinguish two records of one epoch. */
  readonly nonce: string;
}

const identityShape = {
  host: z.string(),
  incarnation: z.string(),
  peerAddress: z.string(),
  callerAddress: z.string(),
  zone: z.string(),
  draining: z.boolean(),
  listed: z.boolean(),
};

/** Unknown fields are dropped, so that an older version can read a newer one's record. */
export const recordSchema = z.object({
  group: z.string(),
  epoch: z.number().int().min(1),
  members: z.array(z.object(identityShape)),
  lineage: z.array(
    z.object({
      epoch: z.number().int(),
      members: z.array(z.object({ ...identityShape, ended: z.boolean() })),
    }),
  ),
  nonce: z.string(),
});

/**
 * Parses a record.
 *
 * @param value - The value received from the platform or a peer.
 * @returns The record, or a description of the error.
 */
export function parseGroupRecord(value: unknown): Result<GroupRecord, string> {
  const parsed = recordSchema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}

/**
 * Finds one incarnation in a list of members.
 *
 * @param members - The list.
 * @param wanted - The incarnation.
 * @returns Its entry, or undefined if it is not in the list.
 */
export function findMember<M extends MemberIdentity>(
  members: readonly M[],
  wanted: MemberIdentity,
): M | undefined {
  const key = memberKey(wanted);
  return members.find((member) => memberKey(member) === key);
}
