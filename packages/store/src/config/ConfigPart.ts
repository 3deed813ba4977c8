import {
  hashToUint48,
  type OverloadPolicy,
  type PoolConfig,
  type RoutingConfig,
  type ServiceConfig,
  type TeamConfig,
  type WaitRule,
  type ZoneId,
} from '@camphorvane/core';

/** A part of a configuration that is stored, fetched and compared separately. */
export type ConfigPart =
  | { readonly type: 'teams'; readonly teams: readonly TeamConfig[] }
  | { readonly type: 'pool'; readonly pool: PoolConfig }
  | { readonly type: 'service'; readonly service: ServiceConfig }
  | { readonly type: 'wait_rules'; readonly rules: readonly WaitRule[] }
  | { readonly type: 'drained_zones'; readonly zones: readonly ZoneId[] }
  | { readonly type: 'overload'; readonly policy: OverloadPolicy };

/** A part with its name in the manifest. */
export interface NamedPart {
  readonly name: string;
  readonly part: ConfigPart;
}

/**
 * Average number of teams in a bucket. At about 250 bytes a team, each host fetches 16 KB for a
 * changed bucket, and the manifest of 20,000 teams has some 50 KB. At one change a minute both are a
 * small part of the 30 KB a second that a host has for control traffic.
 */
const TEAMS_PER_BUCKET = 64;

/** Maximum number of buckets; keeps the manifest far below the platform's limit on a value. */
const MAX_BUCKETS = 1024;

/** Exclusive upper bound of `hashNumber`. */
const HASH_RANGE = 2 ** 48;

/**
 * Gets the number of buckets for a number of teams.
 *
 * @param teams - Number of teams.
 * @param current - Current number of buckets; kept while within a factor of four of the best number,
 * since another number changes every chunk of the teams at once.
 * @returns A power of two.
 */
export function bucketCountFor(teams: number, current?: number): number {
  const ideal = 2 ** Math.ceil(Math.log2(Math.max(1, teams / TEAMS_PER_BUCKET)));
  const best = Math.min(MAX_BUCKETS, ideal);
  const isCloseEnough = current !== undefined && best <= current * 4 && current <= best * 4;
  return isCloseEnough ? current : best;
}

/**
 * Splits a configuration into parts.
 *
 * @param config - The configuration.
 * @param buckets - Number of buckets for the teams.
 * @returns The parts in a deterministic order, without empty buckets.
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
    ...drainedZoneParts(config.drainedZones ?? []),
    ...overloadParts(config.overload),
  ];
}

/**
 * Assembles a configuration from its parts.
 *
 * @param parts - All parts of one configuration, in the order of its manifest.
 * @returns The configuration, with the teams ordered by bucket, then by identifier.
 */
export function assembleConfig(parts: readonly ConfigPart[]): RoutingConfig {
  return {
    teams: parts.flatMap((part) => (part.type === 'teams' ? part.teams : [])),
    pools: parts.flatMap((part) => (part.type === 'pool' ? [part.pool] : [])),
    services: parts.flatMap((part) => (part.type === 'service' ? [part.service] : [])),
    waitRules: parts.flatMap((part) => (part.type === 'wait_rules' ? part.rules : [])),
    drainedZones: parts.flatMap((part) => (part.type === 'drained_zones' ? part.zones : [])),
    ...overloadOf(parts),
  };
}

/** Omitted while no zone is drained, so that hosts without support for drained zones can parse the rest. */
function drainedZoneParts(zones: readonly ZoneId[]): readonly NamedPart[] {
  if (zones.length === 0) return [];
  const part = { type: 'drained_zones', zones: sorted(zones, (zone) => zone) } as const;
  return [{ name: 'drained_zones', part }];
}

/** Omitted while nothing is switched on, so that hosts without support for it can parse the rest. */
function overloadParts(policy: OverloadPolicy | undefined): readonly NamedPart[] {
  if (policy === undefined || !Object.values(policy).some(Boolean)) return [];
  return [{ name: 'overload', part: { type: 'overload', policy } }];
}

function overloadOf(parts: readonly ConfigPart[]): { readonly overload?: OverloadPolicy } {
  const policies = parts.flatMap((part) => (part.type === 'overload' ? [part.policy] : []));
  return policies[0] === undefined ? {} : { overload: policies[0] };
}

function teamParts(teams: readonly TeamConfig[], buckets: number): readonly NamedPart[] {
  const byBucket = new Map<number, TeamConfig[]>();
  teams.forEach((team) => {
    const bucket = Math.floor((hashToUint48(team.id) / HASH_RANGE) * buckets);
    const list = byBucket.get(bucket);
    if (list === undefined) byBucket.set(bucket, [team]);
    else list.push(team);
  });
  return [...byBucket.entries()]
    .sort(([a], [b]) => a - b)
    .map(([bucket, list]) => ({
      name: `teams/${bucket}`,
      part: { type: 'teams', teams: sorted(list, (team) => team.id).map(normalizeTeam) },
    }));
}

/** Sorts the key digests and models, which are sets, so that equal teams give equal digests of a part. */
function normalizeTeam(team: TeamConfig): TeamConfig {
  return { ...team, keyDigests: [...team.keyDigests].sort(), models: [...team.models].sort() };
}

function sorted<T>(items: readonly T[], name: (item: T) => string): readonly T[] {
  return [...items].sort((a, b) => (name(a) < name(b) ? -1 : 1));
}
