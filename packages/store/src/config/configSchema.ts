import * as z from 'zod';

/*
 * Schemas of the configuration that hosts read from the platform and from peers. Unknown fields are
 * ignored, so that older hosts keep working when a newer version adds fields. Ranges of values are
 * validated once, before a configuration is accepted; a host validates only the structure.
 */

const workClass = z.enum(['lookup', 'certificate', 'summary']);

const team = z.object({
  id: z.string(),
  rate: z.object({ tokensPerSecond: z.number(), burstTokens: z.number() }),
  keyDigests: z.array(z.string()),
  models: z.array(z.string()),
  weight: z.number(),
});

const pool = z.object({
  model: z.string(),
  engines: z.array(
    z.object({
      id: z.string(),
      url: z.string(),
      zone: z.string(),
      role: z.enum(['prefill', 'decode']),
      memoryPieces: z.number(),
      checksFencing: z.boolean(),
    }),
  ),
  maxTokens: z.number(),
  ttftTargetMs: z.number(),
  itlTargetMs: z.number(),
  linkPiecesPerSecond: z.number(),
});

const service = z.object({
  id: z.string(),
  servers: z.array(
    z.object({ id: z.string(), url: z.string(), zone: z.string(), maxConcurrent: z.number() }),
  ),
  routes: z.array(
    z.object({
      method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
      path: z.string(),
      idempotent: z.boolean(),
      class: workClass,
      costTokens: z.number(),
    }),
  ),
  timeoutMs: z.number(),
});

const waitRule = z.object({
  team: z.string().optional(),
  model: z.string().optional(),
  class: workClass,
  maxWaitMs: z.number(),
});

const overload = z.object({
  admission: z.boolean(),
  returnTurns: z.boolean(),
  fairShares: z.boolean(),
  boundedBuffers: z.boolean(),
  completionTimes: z.boolean(),
  streamMoves: z.boolean(),
  streamBackups: z.boolean(),
});

/** Schema of one part of a configuration. */
export const partSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('teams'), teams: z.array(team) }),
  z.object({ type: z.literal('pool'), pool }),
  z.object({ type: z.literal('service'), service }),
  z.object({ type: z.literal('wait_rules'), rules: z.array(waitRule) }),
  z.object({ type: z.literal('drained_zones'), zones: z.array(z.string()) }),
  z.object({ type: z.literal('overload'), policy: overload }),
]);

const manifest = z.object({
  /** Number of buckets over which the teams are distributed. */
  buckets: z.int().positive(),
  parts: z.array(z.object({ name: z.string(), digest: z.string(), bytes: z.int() })),
});

/** Schema of a manifest. */
export const manifestSchema = manifest;

/** Schema of the root. */
export const rootSchema = z.object({
  format: z.literal(1),
  changeId: z.string(),
  requestDigest: z.string(),
  manifest,
  history: z.array(
    z.object({
      version: z.int(),
      changeId: z.string(),
      requestDigest: z.string(),
      manifestDigest: z.string(),
    }),
  ),
});

/** Schema of a stored chunk or manifest. */
export const storedTextSchema = z.object({ text: z.string(), touchedAt: z.number() });
