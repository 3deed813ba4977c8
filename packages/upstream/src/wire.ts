import * as z from 'zod';

/** Response to a prefill command. */
export const prefillResultSchema = z.object({
  attempt: z.string(),
  kvHandle: z.string(),
  promptTokens: z.number().int().nonnegative(),
  cachedTokens: z.number().int().nonnegative(),
});

/** One line of a decode stream. */
export const decodeEventSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('token'),
    attempt: z.string(),
    position: z.number().int().nonnegative(),
    text: z.string(),
  }),
  z.object({
    type: z.literal('done'),
    attempt: z.string(),
    reason: z.enum(['stop', 'length']),
    outputTokens: z.number().int().nonnegative(),
  }),
]);

/** A load report. */
export const loadReportSchema = z.object({
  role: z.enum(['prefill', 'decode']),
  usedPieces: z.number().nonnegative(),
  memoryPieces: z.number().nonnegative(),
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
  attempts: z.array(z.string()),
});
