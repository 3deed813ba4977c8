import * as z from 'zod';

const name = z.string().regex(/^[a-z][a-z0-9-]*$/);
const seconds = z.number().min(0).max(3600);
const count = z.number().int().min(0).max(10_000);
const share = z.number().min(0).max(1);
const workClass = z.enum(['lookup', 'certificate', 'summary']);

const fleet = z.strictObject({
  hosts: z.number().int().min(1).max(30).default(3),
  zones: z.number().int().min(1).max(9).default(3),
  latency: seconds.default(0.001),
  loss: share.default(0),
});

const team = z.strictObject({
  id: name,
  rate: z.number().positive(),
  burst: z.number().positive(),
  weight: z.number().positive().default(1),
  models: z.array(name).default([]),
});

const pool = z.strictObject({
  model: name,
  prefill: count.default(2),
  decode: count.default(2),
  memory_pieces: count.default(40),
  max_tokens: count.default(8192),
  first_token_target: seconds.default(0.73),
  between_tokens_target: seconds.default(0.035),
  link_pieces_per_second: z.number().positive().default(60),
  checks_fencing: z.boolean().default(true),
  restart_after: seconds.default(3),
});

const route = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
  class: workClass.default('lookup'),
  cost: count.default(50),
});

const service = z.strictObject({
  id: name,
  servers: count.default(2),
  delay: seconds.default(0.02),
  timeout: seconds.default(5),
  max_concurrent: count.default(8),
  restart_after: seconds.default(3),
  route: z.array(route).min(1),
});

const waitRule = z.strictObject({
  team: name.optional(),
  model: name.optional(),
  class: workClass,
  max_wait: seconds,
});

/** What one request of a load looks like. */
const work = {
  label: name.default('load'),
  team: name,
  /** A model, for completions; exclusive with `service`. */
  model: name.optional(),
  service: name.optional(),
  method: z.enum(['GET', 'POST', 'PUT', 'DELETE']).default('POST'),
  path: z.string().startsWith('/').default('/'),
  class: workClass.default('lookup'),
  prompt_tokens: z.number().int().min(8).max(100_000).default(200),
  shared_tokens: count.default(0),
  output_tokens: z.number().int().min(1).max(10_000).default(20),
  max_tokens: z.number().int().min(1).max(10_000).optional(),
  /** A text put into the prompt or body; poison, for example. */
  text: z.string().default(''),
  /** A text that fills the 1,024 characters after the shared ones, so that prompts with it begin alike. */
  opening: z.string().default(''),
  /** Requests with the same name here have the same content; else each one differs from all others. */
  content: name.optional(),
  /** A host that all of it goes to; else callers follow the advice. */
  host: name.optional(),
  /** Callers that go before their answer is whole, this long after they sent. */
  leave_after: seconds.optional(),
  /** How long a caller waits without hearing anything. */
  patience: seconds.default(30),
  /** Sends that a caller makes when its connection breaks. */
  tries: z.number().int().min(1).max(10).default(3),
  /** Sends again after a refusal that says when to come back, too. */
  comes_back: z.boolean().default(false),
};

const at = { at: seconds };
const lasting = { for: seconds.optional() };
const two = z.tuple([z.string(), z.string()]);

const step = z.discriminatedUnion('do', [
  z.strictObject({
    do: z.literal('load'),
    ...at,
    for: seconds,
    per_second: z.number().positive(),
    ...work,
  }),
  z.strictObject({ do: z.literal('burst'), ...at, count, ...work }),
  z.strictObject({ do: z.literal('request'), ...at, ...work }),
  z.strictObject({
    do: z.literal('kill_host'),
    ...at,
    host: name,
    /** True where open connections are not reset, as after a loss of power. */
    power_loss: z.boolean().default(false),
  }),
  z.strictObject({ do: z.literal('restart_host'), ...at, host: name }),
  z.strictObject({ do: z.literal('pause_host'), ...at, host: name, for: seconds }),
  z.strictObject({ do: z.literal('drain_host'), ...at, host: name }),
  z.strictObject({
    do: z.literal('cut'),
    ...at,
    ...lasting,
    between: two,
    one_way: z.boolean().default(false),
  }),
  z.strictObject({ do: z.literal('heal'), ...at, between: two }),
  z.strictObject({ do: z.literal('silence'), ...at, between: two }),
  z.strictObject({
    do: z.literal('platform'),
    ...at,
    ...lasting,
    state: z.enum(['up', 'down', 'slow']),
    delay: seconds.default(1),
  }),
  z.strictObject({ do: z.literal('lose_answers'), ...at, of: z.string(), count }),
  z.strictObject({ do: z.literal('withdraw_key'), ...at, team: name }),
  z.strictObject({
    do: z.literal('set_rate'),
    ...at,
    team: name,
    rate: z.number().positive(),
    burst: z.number().positive(),
  }),
  z.strictObject({ do: z.literal('crash'), ...at, upstream: name }),
  z.strictObject({ do: z.literal('hang'), ...at, ...lasting, upstream: name }),
  z.strictObject({ do: z.literal('slow'), ...at, ...lasting, upstream: name, factor: z.number() }),
  z.strictObject({ do: z.literal('heat'), ...at, ...lasting, upstream: name, capacity: share }),
  z.strictObject({ do: z.literal('cross_answers'), ...at, upstream: name, count }),
  z.strictObject({ do: z.literal('stall_transfers'), ...at, upstream: name, count }),
  z.strictObject({
    do: z.literal('ask'),
    ...at,
    ...lasting,
    /** A server of a plain service, which asks in its answers for fewer requests. */
    upstream: name,
    /** Requests a second that it takes from all hosts together. */
    limit: z.number().min(0).optional(),
    /** Says that it is leaving. */
    leaving: z.boolean().default(false),
    /** Rejects everything, and asks each host for so many seconds of rest. */
    rest: seconds.optional(),
  }),
  z.strictObject({ do: z.literal('poison'), ...at, text: z.string().min(3) }),
]);

const expectation = z.strictObject({
  /** Label of the loads that are looked at; absent means all. */
  of: name.optional(),
  /** Only requests first sent in this span, in seconds. */
  from: seconds.default(0),
  to: seconds.default(3600),
  sent_min: count.default(1),
  whole_min: count.optional(),
  whole_max: count.optional(),
  whole_share_min: share.optional(),
  refused_max: count.optional(),
  /** The only codes with which any of them may be refused. */
  codes: z.array(z.string()).optional(),
  code_min: z.record(z.string(), count).default({}),
  broken_max: count.optional(),
  first_token_p95_max: seconds.optional(),
  /** Longest time from the first send to the end of the last answer. */
  ended_within: seconds.optional(),
});

/** The form of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  /** Seconds during which steps happen. */
  duration: seconds,
  /** Seconds after it in which all work must end and all memory be free. */
  settle: seconds.default(25),
  /** Seconds before time 0 in which hosts start and take the configuration. */
  warm_up: seconds.default(5),
  /** Seeds that the tests run. */
  seeds: z.number().int().min(1).max(50).default(1),
  fleet: fleet.prefault({}),
  team: z.array(team).min(1),
  pool: z.array(pool).default([]),
  service: z.array(service).default([]),
  wait_rule: z.array(waitRule).default([]),
  step: z.array(step).min(1),
  expect: z.array(expectation).min(1),
});

/** A scenario as its file says it. */
export type Scenario = Readonly<z.infer<typeof scenarioSchema>>;

/** One timed step. */
export type Step = Scenario['step'][number];

/** A step that makes callers send. */
export type LoadStep = Extract<Step, { readonly do: 'load' | 'burst' | 'request' }>;

/** What must have become of some of the requests. */
export type Expectation = Scenario['expect'][number];
