import { sha256Hex, type Millis } from '@camphorvane/core';
import * as z from 'zod';
import type { ClaimHolder, ClaimRequest, StoredResponse } from './Claim.ts';

/** Kind of the objects that store claims. */
export const CLAIM_KIND = 'claim';

/**
 * Maximum body of a stored response, in bytes. Responses of certificate and reservation calls have a
 * few kilobytes; larger ones are not replayed, so that claims can't fill the platform or a host.
 */
export const MAX_STORED_RESPONSE_BYTES = 16 * 1024;

const schema = z.object({
  team: z.string(),
  service: z.string(),
  route: z.string(),
  requestDigest: z.string(),
  attempt: z.string(),
  host: z.string(),
  incarnation: z.string(),
  /** Wall clock time of the claim; used only for the retention of a day, so clock skew does not matter. */
  claimedAt: z.number(),
  state: z.enum(['claimed', 'finished', 'unknown']),
  answer: z
    .object({
      status: z.int(),
      headers: z.record(z.string(), z.string()),
      bodyBase64: z.string(),
    })
    .optional(),
});

/** The stored value of a claim. */
export type ClaimRecord = z.infer<typeof schema>;

/**
 * Gets the name of the object that stores a claim. It is a digest, so that callers control neither
 * the names of objects nor their length.
 *
 * @param req - The call to claim.
 * @returns 64 hexadecimal characters.
 */
export function claimObjectName(req: ClaimRequest): string {
  return sha256Hex(JSON.stringify([req.team, req.service, req.route, req.key]));
}

/**
 * Gets the record of a new claim.
 *
 * @param req - The call to claim.
 * @param claimedAt - Wall clock time of the claim.
 * @returns The record, without the caller's key.
 */
export function newClaimRecord(req: ClaimRequest, claimedAt: Millis): ClaimRecord {
  const { team, service, route, requestDigest, attempt, host, incarnation } = req;
  return {
    team,
    service,
    route,
    requestDigest,
    attempt,
    host,
    incarnation,
    claimedAt,
    state: 'claimed',
  };
}

/**
 * Gets the record of a call that has run.
 *
 * @param record - The record of the claim.
 * @param answer - The response; omitted from the record where its body is too large, as is undefined.
 * @returns The record to store.
 */
export function finishedClaimRecord(
  record: ClaimRecord,
  answer: StoredResponse | undefined,
): ClaimRecord {
  if (answer === undefined || answer.body.length > MAX_STORED_RESPONSE_BYTES) {
    return { ...record, state: 'finished' };
  }
  const { status, headers, body } = answer;
  const bodyBase64 = Buffer.from(body).toString('base64');
  return { ...record, state: 'finished', answer: { status, headers, bodyBase64 } };
}

/**
 * Parses a stored record.
 *
 * @param value - The object's value.
 * @returns The record, or undefined where the value does not match the schema.
 */
export function parseClaimRecord(value: unknown): ClaimRecord | undefined {
  const parsed = schema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Gets the response stored in a record. */
export function storedResponse(record: ClaimRecord): StoredResponse | undefined {
  if (record.answer === undefined) return undefined;
  const { status, headers, bodyBase64 } = record.answer;
  return { status, headers, body: Buffer.from(bodyBase64, 'base64') };
}

/** Gets the holder of a claim. */
export function claimHolder(record: ClaimRecord): ClaimHolder {
  return { attempt: record.attempt, host: record.host, incarnation: record.incarnation };
}
