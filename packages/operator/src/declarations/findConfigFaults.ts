import type { RoutingConfig } from '@camphorvane/core';
import type { DeclarationPath } from './DeclarationLineIndex.ts';

/** A validation error of a configuration, before it is located in a file. */
export interface ConfigFault {
  /** Path in the declarations. */
  readonly path: DeclarationPath;
  /** Description of what was found. */
  readonly found: string;
  /** Description of what is valid. */
  readonly expected: string;
}

interface NamedEntry {
  readonly path: DeclarationPath;
  readonly name: string;
}

/**
 * Validates a configuration as a whole: names, keys and URLs are unique, references resolve, pools have
 * engines of both roles, and services have servers.
 *
 * @param config - A configuration that conforms to the schema.
 * @returns All errors; empty if the configuration is valid.
 */
export function findConfigFaults(config: RoutingConfig): readonly ConfigFault[] {
  return [
    ...duplicateNames(teamNames(config), 'a unique team name'),
    ...duplicateNames(keyDigests(config), 'a key digest that occurs once'),
    ...duplicateNames(modelNames(config), 'one pool per model'),
    ...duplicateNames(upstreams(config, 'id'), 'a unique engine or server name'),
    ...duplicateNames(upstreams(config, 'url'), 'an address used by no other engine or server'),
    ...duplicateNames(serviceNames(config), 'a unique service name'),
    ...duplicateNames(routes(config), 'one route per method and path'),
    ...duplicateNames(rules(config), 'one rule per team, model and class; the first match applies'),
    ...unknownTeamModels(config),
    ...unknownRuleReferences(config),
    ...unknownDrainedZones(config),
    ...poolsWithMissingRole(config),
    ...servicesWithoutServers(config),
  ];
}

function duplicateNames(entries: readonly NamedEntry[], expected: string): readonly ConfigFault[] {
  const seen = new Set<string>();
  return entries.flatMap(({ path, name }) => {
    if (seen.has(name)) return [{ path, found: `${name} a second time`, expected }];
    seen.add(name);
    return [];
  });
}

function teamNames(config: RoutingConfig): readonly NamedEntry[] {
  return config.teams.map((team, i) => ({ path: ['teams', i, 'id'], name: team.id }));
}

/** If two teams declared one key, its requests would be charged to the team a host reads last. */
function keyDigests(config: RoutingConfig): readonly NamedEntry[] {
  return config.teams.flatMap((team, i) =>
    team.keyDigests.map((name, k) => ({ path: ['teams', i, 'key_digests', k], name })),
  );
}

function modelNames(config: RoutingConfig): readonly NamedEntry[] {
  return config.pools.map((pool, i) => ({ path: ['pools', i, 'model'], name: pool.model }));
}

/** The memory of an engine listed twice would be counted, and overcommitted, twice. */
function upstreams(config: RoutingConfig, field: 'id' | 'url'): readonly NamedEntry[] {
  const engines = config.pools.flatMap((pool, i) =>
    pool.engines.map((engine, k) => ({
      path: ['pools', i, 'engines', k, field],
      name: engine[field],
    })),
  );
  const servers = config.services.flatMap((service, i) =>
    service.servers.map((server, k) => ({
      path: ['services', i, 'servers', k, field],
      name: server[field],
    })),
  );
  return [...engines, ...servers];
}

function serviceNames(config: RoutingConfig): readonly NamedEntry[] {
  return config.services.map((service, i) => ({ path: ['services', i, 'id'], name: service.id }));
}

function routes(config: RoutingConfig): readonly NamedEntry[] {
  return config.services.flatMap((service, i) =>
    service.routes.map((route, k) => ({
      path: ['services', i, 'routes', k, 'path'],
      name: `${service.id} ${route.method} ${route.path}`,
    })),
  );
}

function rules(config: RoutingConfig): readonly NamedEntry[] {
  return config.waitRules.map((rule, i) => ({
    path: ['wait_rules', i],
    name: `team ${rule.team ?? '(all)'}, model ${rule.model ?? '(all)'}, class ${rule.class}`,
  }));
}

function unknownTeamModels(config: RoutingConfig): readonly ConfigFault[] {
  const models = new Set(config.pools.map((pool) => pool.model));
  return config.teams.flatMap((team, i) =>
    team.models.flatMap((model, k) =>
      models.has(model)
        ? []
        : [unknownReference(['teams', i, 'models', k], model, 'model of a pool')],
    ),
  );
}

function unknownRuleReferences(config: RoutingConfig): readonly ConfigFault[] {
  const models = new Set(config.pools.map((pool) => pool.model));
  const teams = new Set(config.teams.map((team) => team.id));
  return config.waitRules.flatMap((rule, i) => [
    ...(rule.team === undefined || teams.has(rule.team)
      ? []
      : [unknownReference(['wait_rules', i, 'team'], rule.team, 'team')]),
    ...(rule.model === undefined || models.has(rule.model)
      ? []
      : [unknownReference(['wait_rules', i, 'model'], rule.model, 'model of a pool')]),
  ]);
}

/** A misspelt zone would be believed drained and still receive requests. */
function unknownDrainedZones(config: RoutingConfig): readonly ConfigFault[] {
  const upstreamConfigs = [
    ...config.pools.flatMap((pool) => pool.engines),
    ...config.services.flatMap((service) => service.servers),
  ];
  const zones = new Set(upstreamConfigs.map(({ zone }) => zone));
  return (config.drainedZones ?? []).flatMap((zone, i) =>
    zones.has(zone)
      ? []
      : [unknownReference(['drained_zones', i], zone, 'zone of an engine or server')],
  );
}

function unknownReference(path: DeclarationPath, name: string, what: string): ConfigFault {
  return { path, found: JSON.stringify(name), expected: `the name of a declared ${what}` };
}

/** A pool without prefill or decode engines would accept requests that it can never finish. */
function poolsWithMissingRole(config: RoutingConfig): readonly ConfigFault[] {
  return config.pools.flatMap((pool, i) =>
    (['prefill', 'decode'] as const)
      .filter((role) => !pool.engines.some((engine) => engine.role === role))
      .map((role) => ({
        path: ['pools', i, 'engines'],
        found: `no ${role} engine`,
        expected: 'at least one engine of each role',
      })),
  );
}

function servicesWithoutServers(config: RoutingConfig): readonly ConfigFault[] {
  return config.services
    .map((service, i) => ({ service, i }))
    .filter(({ service }) => service.servers.length === 0)
    .map(({ i }) => ({
      path: ['services', i, 'servers'],
      found: 'no server',
      expected: 'at least one server',
    }));
}
