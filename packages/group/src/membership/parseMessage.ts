import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { recordSchema } from './GroupRecord.ts';
import type { Hello, Welcome } from './MembershipMessage.ts';

const identitySchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  peerAddress: z.string(),
  callerAddress: z.string(),
  zone: z.string(),
});

const intentSchema = z.enum(['stay', 'drain', 'leave']);

const epochSchema = z.number().int().min(0);

const helloSchema = z.object({
  type: z.literal('hello'),
  group: z.string(),
  from: identitySchema,
  epoch: epochSchema,
  intent: intentSchema,
});

const welcomeSchema = z.object({
  type: z.literal('welcome'),
  from: identitySchema,
  epoch: epochSchema,
  intent: intentSchema,
  silent: z.array(z.string()),
  record: recordSchema.optional(),
});

function parseWith<T>(schema: z.ZodType<T>, value: unknown): Result<T, string> {
  const res = schema.safeParse(value);
  return res.success ? ok(res.data) : err(z.prettifyError(res.error));
}

/**
 * Validates a hello received over the network.
 *
 * During a rolling upgrade, hosts of two versions exchange messages; one that a host misreads must
 * not become part of its state.
 *
 * @param value - The received value.
 * @returns The hello without unknown fields, or a description of the error.
 */
export function parseHello(value: unknown): Result<Hello, string> {
  return parseWith(helloSchema, value);
}

/** Validates a reply to a hello; see {@link parseHello}. */
export function parseWelcome(value: unknown): Result<Welcome, string> {
  return parseWith(welcomeSchema, value);
}
