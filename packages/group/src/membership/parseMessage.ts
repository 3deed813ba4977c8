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

function parsed<T>(schema: z.ZodType<T>, value: unknown): Result<T, string> {
  const res = schema.safeParse(value);
  return res.success ? ok(res.data) : err(z.prettifyError(res.error));
}

/**
 * Checks a greeting that came over the network.
 *
 * During a replacement of the program, hosts of two versions greet each other. A message that one
 * of them misreads must not become part of its state, where it would be relied on later.
 *
 * @param value - What arrived.
 * @returns The greeting without unknown fields, or what is wrong with it.
 */
export function parseHello(value: unknown): Result<Hello, string> {
  return parsed(helloSchema, value);
}

/** Checks an answer to a greeting; see {@link parseHello}. */
export function parseWelcome(value: unknown): Result<Welcome, string> {
  return parsed(welcomeSchema, value);
}
