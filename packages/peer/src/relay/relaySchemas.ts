import { REFUSAL_CODES } from '@camphorvane/core';
import * as z from 'zod';

const count = z.number().nonnegative();

/** Events before the first one with an id are at -1. */
const position = z.number().int().min(-1);

/** Statuses of responses that end their requests. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

const headers = z.record(z.string(), z.string());

const binding = z.union([
  z.looseObject({ type: z.literal('bound'), version: z.string() }),
  z.looseObject({ type: z.enum(['free', 'unbindable']) }),
]);

/** The work that a caller declared; hosts of an earlier program have the position here. */
const work = z.looseObject({
  promptTokens: count,
  maxTokens: count,
  expectedOutputTokens: count.optional(),
  parts: z.array(z.looseObject({ id: z.string(), tokens: count })),
  lastPosition: position.optional(),
});

/** Fields of a request that a host passes on; those that are not named here are of a later program. */
export const requestFieldsSchema = z.looseObject({
  id: z.string(),
  call: z.looseObject({
    key: z.string().optional(),
    host: z.string(),
    method: z.string(),
    path: z.string(),
    headers,
    lastPosition: position.optional(),
    resumes: z.string().optional(),
    work: work.optional(),
  }),
  context: z.looseObject({
    from: z.string(),
    leftMs: z.number(),
    ageMs: z.number(),
    service: z.string().optional(),
    executions: count,
    isCharged: z.boolean().optional(),
    configVersion: z.number().optional(),
    binding: binding.optional(),
    arrivals: z.looseObject({ count, isPromptRead: z.boolean() }).optional(),
  }),
});

/** Fields of the frames of a response that are objects, by their kind. */
export const frameSchemas = {
  head: z.looseObject({
    type: z.literal('head'),
    status: z.number().int().min(MIN_STATUS).max(MAX_STATUS),
    headers,
    endsWithConnection: z.boolean().optional(),
    bodyBytes: z.number().int().nonnegative().optional(),
  }),
  version: z.looseObject({
    type: z.literal('version'),
    version: z.union([
      z.looseObject({ type: z.literal('known'), name: z.string() }),
      z.looseObject({ type: z.literal('unknown') }),
    ]),
  }),
  refused: z.looseObject({
    type: z.literal('refused'),
    refusal: z.looseObject({
      code: z.enum(REFUSAL_CODES),
      message: z.string(),
      execution: z.enum(['not_run', 'unknown']),
      retryAfterMs: count.optional(),
    }),
  }),
} as const;
