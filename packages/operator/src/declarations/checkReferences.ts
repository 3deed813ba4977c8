import type { RoutingConfig } from '@camphorvane/core';
import type { DeclarationPath } from './DeclarationLines.ts';

/** A fault that shows only when parts of a configuration are held against each other. */
export interface ReferenceFault {
  readonly path: DeclarationPath;
  readonly found: string;
  readonly expected: string;
}

interface Named {
  readonly path: DeclarationPath;
  readonly name: string;
}

/**
 * Checks that names are unique and that what is referred to exists.
 *
 * @param config - A configuration whose parts are well formed.
 * @returns Every fault; empty when the configuration may be applied.
 */
export function checkReferences(config: RoutingConfig): readonly ReferenceFault[] {
  return [
    ...duplicates(teamNames(config), 'a team of another name'),
    ...duplicates(keyDigests(config), 'a key that no other entry holds'),
    ...duplicates(modelNames(config), 'one pool for each model'),
    ...duplicates(upstreams(config, 'id'), 'an engine or server of another name'),
    ...duplicates(upstreams(config, 'url'), 'an address that no other engine or server has'),
    ...duplicates(serviceNames(config), 'a service of another name'),
    ...duplicates(routes(config), 'one route for each method and path'),
    ...duplicates(rules(config), 'one rule for each team, model and class; the first one counts'),
    ...danglingModels(config),
    ...danglingRules(config),
    ...danglingZones(config),
    ...unusablePools(config),
    ...unusableServices(config),
  ];
}

function duplicates(entries: readonly Named[], expected: string): readonly ReferenceFault[] {
  const seen = new Set<string>();
  return entries.flatMap(({ path, name }) => {
    if (seen.has(name)) return [{ path, found: `${name} a second time`, expected }];
    seen.add(name);
    return [];
  });
}

function teamNames(config: RoutingConfig): readonly Named[] {
  return config.teams.map((team, i) => ({ path: ['teams', i, 'id'], name: team.id }));
}

/** A key that two teams hold would be charged to whichever a host happens to read last. */
function keyDigests(config: RoutingConfig): readonly Named[] {
  return config.teams.flatMap((team, i) =>
    team.keyDigests.map((name, k) => ({ path: ['teams', i, 'key_digests', k], name })),
  );
}

function modelNames(config: RoutingConfig): readonly Named[] {
  return config.pools.map((pool, i) => ({ path: ['pools', i, 'model'], name: pool.model }));
}

/** An engine listed twice would have its memory counted twice, and be filled twice over. */
function upstreams(config: RoutingConfig, field: 'id' | 'url'): readonly Named[] {
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

function serviceNames(config: RoutingConfig): readonly Named[] {
  return config.services.map((service, i) => ({ path: ['services', i, 'id'], name: service.id }));
}

function routes(config: RoutingConfig): readonly Named[] {
  return config.services.flatMap((service, i) =>
    service.routes.map((route, k) => ({
      path: ['services', i, 'routes', k, 'path'],
      name: `${service.id} ${route.method} ${route.path}`,
    })),
  );
}

function rules(config: RoutingConfig): readonly Named[] {
  return config.waitRules.map((rule, i) => ({
    path: ['wait_rules', i],
    name: `team ${rule.team ?? '(all)'}, model ${rule.model ?? '(all)'}, class ${rule.class}`,
  }));
}

function danglingModels(config: RoutingConfig): readonly ReferenceFault[] {
  const models = new Set(config.pools.map((pool) => pool.model));
  return config.teams.flatMap((team, i) =>
    team.models.flatMap((model, k) =>
      models.has(model) ? [] : [dangling(['teams', i, 'models', k], model, 'model of a pool')],
    ),
  );
}

function danglingRules(config: RoutingConfig): readonly ReferenceFault[] {
  const models = new Set(config.pools.map((pool) => pool.model));
  const teams = new Set(config.teams.map((team) => team.id));
  return config.waitRules.flatMap((rule, i) => [
    ...(rule.team === undefined || teams.has(rule.team)
      ? []
      : [dangling(['wait_rules', i, 'team'], rule.team, 'team')]),
    ...(rule.model === undefined || models.has(rule.model)
      ? []
      : [dangling(['wait_rules', i, 'model'], rule.model, 'model of a pool')]),
  ]);
}

/** A zone that is misspelt would be thought drained, and go on getting requests. */
function danglingZones(config: RoutingConfig): readonly ReferenceFault[] {
  const all = [
    ...config.pools.flatMap((pool) => pool.engines),
    ...config.services.flatMap((service) => service.servers),
  ];
  const zones = new Set(all.map(({ zone }) => zone));
  return (config.drainedZones ?? []).flatMap((zone, i) =>
    zones.has(zone) ? [] : [dangling(['drained_zones', i], zone, 'zone of an engine or server')],
  );
}

function dangling(path: DeclarationPath, name: string, what: string): ReferenceFault {
  return { path, found: JSON.stringify(name), expected: `the name of a declared ${what}` };
}

/** A pool without one of the roles would accept requests that it can never finish. */
function unusablePools(config: RoutingConfig): readonly ReferenceFault[] {
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

function unusableServices(config: RoutingConfig): readonly ReferenceFault[] {
  return config.services
    .map((service, i) => ({ service, i }))
    .filter(({ service }) => service.servers.length === 0)
    .map(({ i }) => ({
      path: ['services', i, 'servers'],
      found: 'no server',
      expected: 'at least one server',
    }));
}
