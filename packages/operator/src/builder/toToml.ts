import type { RoutingConfig } from '@camphorvane/core';
import { stringify } from 'smol-toml';
import { declarationsOf } from '../declarations/routingConfigOf.ts';

/**
 * Prints a configuration as declarations in TOML.
 *
 * @param config - The configuration.
 * @returns TOML, identical for equivalent configurations; see docs/CONFIG.md.
 */
export function toToml(config: RoutingConfig): string {
  const declarations = declarationsOf(normalizeOrder(config));
  const entries = Object.entries(declarations).filter(
    ([, value]) => !Array.isArray(value) || value.length > 0,
  );
  const text = stringify(Object.fromEntries(entries));
  return entries.length === 0 ? '' : `${text.trimEnd()}\n`;
}

/** Sorts lists whose order is insignificant; routes and wait rules keep their order. */
function normalizeOrder(config: RoutingConfig): RoutingConfig {
  return {
    teams: sortByName(config.teams, (team) => team.id).map((team) => ({
      ...team,
      keyDigests: [...team.keyDigests].sort(),
      models: [...team.models].sort(),
    })),
    pools: sortByName(config.pools, (pool) => pool.model).map((pool) => ({
      ...pool,
      engines: sortByName(pool.engines, (engine) => engine.id),
    })),
    services: sortByName(config.services, (service) => service.id).map((service) => ({
      ...service,
      servers: sortByName(service.servers, (server) => server.id),
    })),
    waitRules: config.waitRules,
    drainedZones: [...(config.drainedZones ?? [])].sort(),
    ...(config.overload === undefined ? {} : { overload: config.overload }),
  };
}

function sortByName<T>(items: readonly T[], name: (item: T) => string): readonly T[] {
  return [...items].sort((a, b) => (name(a) < name(b) ? -1 : 1));
}
