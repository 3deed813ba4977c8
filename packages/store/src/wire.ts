import * as z from 'zod';

/** Checks an object as the platform sends it. */
export const storedObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.int().nonnegative(),
  value: z.unknown(),
});

/** Checks the answer to a refused conditional write. */
export const conflictSchema = z.object({ current: storedObjectSchema.optional() });

/** Checks the answer to a list. */
export const listSchema = z.object({ objects: z.array(storedObjectSchema) });

/** Checks the answer to a watch. */
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

/** Checks the platform's list of hosts. */
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
