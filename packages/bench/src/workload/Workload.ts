import * as z from 'zod';

/** A pair of bounds; values are drawn evenly over their logarithm, as lengths of text are. */
const rangeSchema = z
  .tuple([z.number().int().positive(), z.number().int().positive()])
  .refine(([least, most]) => least <= most, 'the first bound must not exceed the second')
  .readonly();

const prefillEngineSchema = z.strictObject({
  role: z.literal('prefill'),
  count: z.number().int().positive(),
  memoryPieces: z.number().int().positive(),
  tokensPerSecond: z.number().positive(),
  cacheTokens: z.number().int().nonnegative(),
});

const decodeEngineSchema = z.strictObject({
  role: z.literal('decode'),
  count: z.number().int().positive(),
  memoryPieces: z.number().int().positive(),
  baseMs: z.number().positive(),
  perStreamMs: z.number().positive(),
  /** Streams that the engine takes into its batch at most, as its operator has set it. */
  maxStreams: z.number().int().positive(),
});

const teamSchema = z.strictObject({
  id: z.string().min(1),
  weight: z.number().positive().default(1),
  tokensPerSecond: z.number().positive(),
  burstTokens: z.number().positive(),
});

const flowSchema = z.strictObject({
  team: z.string().min(1),
  class: z.enum(['lookup', 'certificate', 'summary']),
  requestsPerSecond: z.number().positive(),
  /** Requests that come at the same moment; the mean rate stays the same. */
  burst: z.number().int().positive().default(1),
  promptTokens: rangeSchema,
  outputTokens: rangeSchema,
  maxOutputTokens: z.number().int().positive(),
  maxWaitMs: z.number().positive(),
  /** Shared prefixes: how many there are, and how many tokens each has. */
  prefixes: z
    .strictObject({ count: z.number().int().positive(), tokens: z.number().int().positive() })
    .optional(),
});

const faultSchema = z.strictObject({
  atMs: z.number().nonnegative(),
  /** Engines by name: role and number, such as `decode-0`. */
  engines: z.array(z.string().regex(/^(prefill|decode)-\d+$/)).min(1),
  /** `slow` multiplies the time of each step by the factor; `down` loses all running work. */
  type: z.enum(['slow', 'down', 'up']),
  factor: z.number().positive().default(1),
});

const reportsSchema = z.strictObject({
  everyMs: z.number().positive(),
  lagMs: z.number().nonnegative(),
  cacheLagMs: z.number().nonnegative(),
  /** Share of cache events that are never delivered. */
  cacheLoss: z.number().min(0).max(1),
});

/** The documented format of a workload file; docs/BENCH.md explains each line. */
export const workloadSchema = z.strictObject({
  name: z.string().min(1),
  seconds: z.number().positive(),
  ttftTargetMs: z.number().positive(),
  itlTargetMs: z.number().positive(),
  hosts: z.number().int().positive(),
  hopMs: z.number().nonnegative(),
  linkPiecesPerSecond: z.number().positive(),
  /** Multiplies the rate of every flow. */
  load: z.number().positive().default(1),
  /** Multiplies the rates of single teams' flows. */
  teamLoad: z.record(z.string(), z.number().positive()).default({}),
  /** Multiplies the rate and burst of every team. */
  rateFactor: z.number().positive().default(1),
  /** Multiplies every flow's bound in the queue. */
  waitFactor: z.number().positive().default(1),
  /** Requests that come at the same moment, by class, in place of what the flows say. */
  bursts: z
    .partialRecord(z.enum(['lookup', 'certificate', 'summary']), z.number().int().positive())
    .default({}),
  reports: reportsSchema,
  engines: z.array(z.discriminatedUnion('role', [prefillEngineSchema, decodeEngineSchema])).min(2),
  teams: z.array(teamSchema).min(1),
  flows: z.array(flowSchema).min(1),
  faults: z.array(faultSchema).default([]),
});

/** A checked workload. */
export type Workload = z.output<typeof workloadSchema>;

/** Requests of one team and class. */
export type Flow = Workload['flows'][number];

/** Something that happens to engines at a time. */
export type Fault = Workload['faults'][number];
