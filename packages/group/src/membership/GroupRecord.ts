import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { memberKey, type MemberIdentity } from './MemberIdentity.ts';

/** A member as the group's object lists it. */
export interface RecordMember extends MemberIdentity {
  /** True while the host drains: it still vouches, but is steward of nothing. */
  readonly draining: boolean;
  /** True once the platform's host list has shown the host; only then can its absence count. */
  readonly listed: boolean;
}

/** A member of an earlier epoch. */
export interface PastMember extends MemberIdentity {
  readonly draining: boolean;
  readonly listed: boolean;
  /** True where the writer knew that this incarnation will never act or vouch again. */
  readonly ended: boolean;
}

/** The members of an earlier epoch, kept until nobody can act under it any more. */
export interface PastEpoch {
  readonly epoch: number;
  readonly members: readonly PastMember[];
}

/** The object of a group in the platform; written only when the membership changes. */
export interface GroupRecord {
  readonly group: string;
  /** Grows by one with each write, so that one epoch names one list of members. */
  readonly epoch: number;
  readonly members: readonly RecordMember[];
  /**
   * Earlier epochs under which somebody may still act, oldest first, without gaps, up to
   * `epoch - 1`. All before them were settled when this record was written.
   */
  readonly lineage: readonly PastEpoch[];
  /** Names the write, so that two records of one epoch could be told apart. */
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

/** Unknown fields are dropped, so that a newer program's record can be read by an older one. */
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
 * Reads a record from a stored value.
 *
 * @param value - What the platform or a peer gave.
 * @returns The record, or what is wrong with the value.
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
 * @returns Its entry, or undefined where the list has it not.
 */
export function findMember<M extends MemberIdentity>(
  members: readonly M[],
  wanted: MemberIdentity,
): M | undefined {
  const key = memberKey(wanted);
  return members.find((member) => memberKey(member) === key);
}
