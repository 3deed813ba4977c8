import * as z from 'zod';

/** Schema of a stored object. */
export const storedObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.int().nonnegative(),
  value: z.unknown(),
});

/** Schema of the response to a write whose precondition failed. */
export const conflictSchema = z.object({ current: storedObjectSchema.optional() });

/** Schema of a list response. */
export const listSchema = z.object({ objects: z.array(storedObjectSchema) });

/** Schema of a watch response. */
export const watchBatchSchema = z.object({
  events: z.array(
    z.discriminatedUnion('type', [
      z.object({ type: z.literal('put'), object: storedObjectSchema }),
      z.object({
        type: z.literal('removed'),
        kind: z.string(),
        name: z.string(),
        version: z.int().nonnegative(),
      }),
    ]),
  ),
  next: z.int().nonnegative(),
});

/** Schema of the platform's host list. */
export const hostListSchema = z.object({
  hosts: z.array(
    z.object({
      id: z.string(),
      zone: z.string(),
      callerAddress: z.string(),
      peerAddress: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});
