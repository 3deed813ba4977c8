import { isIP } from 'node:net';
import * as z from 'zod';
import {
  MAX_BURST,
  MAX_ENTRIES,
  MAX_KEYS,
  MAX_MILLIS,
  MAX_PIECES,
  MAX_RATE,
  MAX_TEAMS,
  MAX_TOKENS,
} from './limits.ts';

const ID = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,99}$/;
const DIGEST = /^[0-9a-f]{64}$/;
const ROUTE_PATH = /^\/[A-Za-z0-9._~/-]{0,199}$/;

/** Accepts integers in a range; NaN, infinities and fractions give the same error as others. */
function integer(low: number, high: number) {
  const error = `a whole number from ${low} to ${high}`;
  return z.int({ error }).min(low, { error }).max(high, { error });
}

function numberInRange(low: number, high: number) {
  const error = `a number from ${low} to ${high}`;
  return z.number({ error }).min(low, { error }).max(high, { error });
}

function id() {
  const error =
    'a name of 1 to 100 letters, digits and . _ : / - that starts with a letter or digit';
  return z.string({ error }).regex(ID, { error });
}

function list<T extends z.ZodType>(item: T, most: number, what: string) {
  const error = `a list of at most ${most} ${what}`;
  return z.array(item, { error }).max(most, { error });
}

function choice<const T extends readonly string[]>(values: T) {
  const error = `one of ${values.map((value) => JSON.stringify(value)).join(', ')}`;
  return z.enum(values, { error });
}

function flag() {
  return z.boolean({ error: 'true or false' });
}

/** Accepts only IP addresses: a host name would add a DNS lookup to every dispatch. */
function isAddress(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  const host = url.hostname.replace(/^\[|\]$/g, '');
  const hasNoExtras =
    url.username === '' && url.password === '' && url.search === '' && url.hash === '';
  return url.protocol === 'http:' && isIP(host) > 0 && url.pathname === '/' && hasNoExtras;
}

function address() {
  const error = 'a URL of an IP address and a port, such as "http://10.0.0.7:9101"';
  return z.string({ error }).refine(isAddress, { error });
}

function digest() {
  const error = 'the SHA-256 digest of a key: 64 lower-case hexadecimal characters';
  return z.string({ error }).regex(DIGEST, { error });
}

const workClass = choice(['lookup', 'certificate', 'summary']);

const team = z.strictObject({
  id: id(),
  tokens_per_second: integer(1, MAX_RATE),
  burst_tokens: integer(1, MAX_BURST),
  key_digests: list(digest(), MAX_KEYS, 'key digests').default([]),
  models: list(id(), MAX_ENTRIES, 'models').default([]),
  weight: numberInRange(0.01, 1000).default(1),
});

const engine = z.strictObject({
  id: id(),
  url: address(),
  zone: id(),
  role: choice(['prefill', 'decode']),
  memory_pieces: integer(1, MAX_PIECES),
  checks_fencing: flag(),
});

const pool = z.strictObject({
  model: id(),
  max_tokens: integer(1, MAX_TOKENS),
  ttft_target_ms: integer(1, MAX_MILLIS),
  itl_target_ms: integer(1, MAX_MILLIS),
  link_pieces_per_second: numberInRange(0.001, MAX_RATE),
  engines: list(engine, MAX_ENTRIES, 'engines'),
});

const routePath = 'a path that starts with / and contains only letters, digits and . _ ~ / -';

const route = z.strictObject({
  method: choice(['GET', 'POST', 'PUT', 'DELETE']),
  path: z.string({ error: routePath }).regex(ROUTE_PATH, { error: routePath }),
  idempotent: flag(),
  class: workClass,
  cost_tokens: integer(0, MAX_TOKENS),
});

const server = z.strictObject({
  id: id(),
  url: address(),
  zone: id(),
  max_concurrent: integer(1, 1_000_000),
});

const service = z.strictObject({
  id: id(),
  timeout_ms: integer(1, MAX_MILLIS),
  servers: list(server, MAX_ENTRIES, 'servers'),
  routes: list(route, MAX_ENTRIES, 'routes'),
});

const waitRule = z.strictObject({
  team: id().optional(),
  model: id().optional(),
  class: workClass,
  max_wait_ms: integer(0, MAX_MILLIS),
});

const overload = z.strictObject(
  {
    admission: flag().default(false),
    return_turns: flag().default(false),
    fair_shares: flag().default(false),
    bounded_buffers: flag().default(false),
    completion_times: flag().default(false),
    stream_moves: flag().default(false),
    stream_backups: flag().default(false),
  },
  { error: 'a table' },
);

/** Schema of a parsed declarations file; see docs/CONFIG.md. */
export const declarationSchema = z.strictObject(
  {
    teams: list(team, MAX_TEAMS, 'teams').default([]),
    pools: list(pool, MAX_ENTRIES, 'pools').default([]),
    services: list(service, MAX_ENTRIES, 'services').default([]),
    wait_rules: list(waitRule, MAX_ENTRIES, 'wait rules').default([]),
    drained_zones: list(id(), MAX_ENTRIES, 'availability zones').default([]),
    overload: overload.optional(),
  },
  { error: 'a table' },
);

/** A declarations file with its TOML keys. */
export type Declarations = z.infer<typeof declarationSchema>;
