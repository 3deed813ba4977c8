import { sha256Hex, type Millis } from '@camphorvane/core';
import * as z from 'zod';
import type { ClaimHolder, ClaimRequest, KeptAnswer } from './Claim.ts';

/** The kind of the objects that hold claims. */
export const CLAIM_KIND = 'claim';

/**
 * Largest body of an answer that is kept, in bytes. Certificates and reservations answer with a few
 * kilobytes; what is larger is not replayed, so that claims can't fill the platform or a host.
 */
export const MAX_KEPT_BYTES = 16 * 1024;

const schema = z.object({
  team: z.string(),
  service: z.string(),
  route: z.string(),
  requestDigest: z.string(),
  attempt: z.string(),
  host: z.string(),
  incarnation: z.string(),
  /** Wall time of the claim; compared only with a retention of a day. */
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

/** A claim as it is stored. */
export type ClaimRecord = z.infer<typeof schema>;

/**
 * Gets the name of the object that holds a claim. It is a digest, so that callers can neither choose
 * names of objects nor make them long.
 *
 * @param req - What is claimed.
 * @returns 64 hexadecimal characters.
 */
export function claimName(req: ClaimRequest): string {
  return sha256Hex(JSON.stringify([req.team, req.service, req.route, req.key]));
}

/**
 * Gets the record of a new claim.
 *
 * @param req - What is claimed.
 * @param claimedAt - The wall time.
 * @returns The record; the caller's key is not in it.
 */
export function newRecord(req: ClaimRequest, claimedAt: Millis): ClaimRecord {
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
 * @param answer - The answer; left out of the record where it is too large.
 * @returns The record to store.
 */
export function finishedRecord(record: ClaimRecord, answer: KeptAnswer): ClaimRecord {
  if (answer.body.length > MAX_KEPT_BYTES) return { ...record, state: 'finished' };
  const { status, headers, body } = answer;
  const bodyBase64 = Buffer.from(body).toString('base64');
  return { ...record, state: 'finished', answer: { status, headers, bodyBase64 } };
}

/**
 * Reads a stored record.
 *
 * @param value - The object's value.
 * @returns The record, or undefined where it is not understood.
 */
export function readRecord(value: unknown): ClaimRecord | undefined {
  const parsed = schema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Gets the answer that a record keeps. */
export function keptAnswer(record: ClaimRecord): KeptAnswer | undefined {
  if (record.answer === undefined) return undefined;
  const { status, headers, bodyBase64 } = record.answer;
  return { status, headers, body: Buffer.from(bodyBase64, 'base64') };
}

/** Gets who holds a claim. */
export function holderOf(record: ClaimRecord): ClaimHolder {
  return { attempt: record.attempt, host: record.host, incarnation: record.incarnation };
}
