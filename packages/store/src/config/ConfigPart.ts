import {
  hashNumber,
  type PoolConfig,
  type RoutingConfig,
  type ServiceConfig,
  type TeamConfig,
  type WaitRule,
  type ZoneId,
} from '@camphorvane/core';

/** A piece of a configuration that is stored, fetched and compared on its own. */
export type ConfigPart =
  | { readonly type: 'teams'; readonly teams: readonly TeamConfig[] }
  | { readonly type: 'pool'; readonly pool: PoolConfig }
  | { readonly type: 'service'; readonly service: ServiceConfig }
  | { readonly type: 'wait_rules'; readonly rules: readonly WaitRule[] }
  | { readonly type: 'drained_zones'; readonly zones: readonly ZoneId[] };

/** A part together with the name it has in a manifest. */
export interface NamedPart {
  readonly name: string;
  readonly part: ConfigPart;
}

/**
 * Teams in one bucket on average. At about 250 bytes a team a changed bucket costs each host 16 KB,
 * and 20,000 teams make a manifest of some 50 KB; both together fit the 30 KB a second that a host
 * has for control many times over at a change a minute.
 */
const TEAMS_PER_BUCKET = 64;

/** Most buckets, so that the manifest stays far below the platform's limit on a value. */
const MAX_BUCKETS = 1024;

/** Values of `hashNumber` are below this. */
const HASH_RANGE = 2 ** 48;

/**
 * Gets the number of buckets for a number of teams.
 *
 * @param teams - How many teams there are.
 * @param current - Buckets in use; kept while they are within a factor of four of the best number,
 * since another number changes every chunk at once.
 * @returns A power of two.
 */
export function bucketsFor(teams: number, current?: number): number {
  const wanted = 2 ** Math.ceil(Math.log2(Math.max(1, teams / TEAMS_PER_BUCKET)));
  const best = Math.min(MAX_BUCKETS, wanted);
  const isNear = current !== undefined && best <= current * 4 && current <= best * 4;
  return isNear ? current : best;
}

/**
 * Splits a configuration into parts.
 *
 * @param config - The configuration.
 * @param buckets - Buckets for the teams, from {@link bucketsFor}.
 * @returns The parts, in the same order for the same configuration; empty buckets are left out.
 */
export function splitConfig(config: RoutingConfig, buckets: number): readonly NamedPart[] {
  return [
    ...teamParts(config.teams, buckets),
    ...sorted(config.pools, (pool) => pool.model).map((pool): NamedPart => {
      const engines = sorted(pool.engines, (engine) => engine.id);
      return { name: `pool/${pool.model}`, part: { type: 'pool', pool: { ...pool, engines } } };
    }),
    ...sorted(config.services, (service) => service.id).map((service): NamedPart => {
      const servers = sorted(service.servers, (server) => server.id);
      const part = { type: 'service', service: { ...service, servers } } as const;
      return { name: `service/${service.id}`, part };
    }),
    { name: 'wait_rules', part: { type: 'wait_rules', rules: config.waitRules } },
    ...drainParts(config.drainedZones ?? []),
  ];
}

/**
 * Puts parts together again.
 *
 * @param parts - All parts of one configuration, in the order of its manifest.
 * @returns The configuration; teams are ordered by bucket, then by name.
 */
export function assembleConfig(parts: readonly ConfigPart[]): RoutingConfig {
  return {
    teams: parts.flatMap((part) => (part.type === 'teams' ? part.teams : [])),
    pools: parts.flatMap((part) => (part.type === 'pool' ? [part.pool] : [])),
    services: parts.flatMap((part) => (part.type === 'service' ? [part.service] : [])),
    waitRules: parts.flatMap((part) => (part.type === 'wait_rules' ? part.rules : [])),
    drainedZones: parts.flatMap((part) => (part.type === 'drained_zones' ? part.zones : [])),
  };
}

/** Left out while no zone is drained, so that hosts which don't know of drains can read the rest. */
function drainParts(zones: readonly ZoneId[]): readonly NamedPart[] {
  if (zones.length === 0) return [];
  const part = { type: 'drained_zones', zones: sorted(zones, (zone) => zone) } as const;
  return [{ name: 'drained_zones', part }];
}

function teamParts(teams: readonly TeamConfig[], buckets: number): readonly NamedPart[] {
  const byBucket = new Map<number, TeamConfig[]>();
  teams.forEach((team) => {
    const bucket = Math.floor((hashNumber(team.id) / HASH_RANGE) * buckets);
    const list = byBucket.get(bucket);
    if (list === undefined) byBucket.set(bucket, [team]);
    else list.push(team);
  });
  return [...byBucket.entries()]
    .sort(([a], [b]) => a - b)
    .map(([bucket, list]) => ({
      name: `teams/${bucket}`,
      part: { type: 'teams', teams: sorted(list, (team) => team.id).map(plainTeam) },
    }));
}

/** Key digests and models are sets; in a fixed order they give the same digest of the part. */
function plainTeam(team: TeamConfig): TeamConfig {
  return { ...team, keyDigests: [...team.keyDigests].sort(), models: [...team.models].sort() };
}

function sorted<T>(items: readonly T[], name: (item: T) => string): readonly T[] {
  return [...items].sort((a, b) => (name(a) < name(b) ? -1 : 1));
}
