import type { RoutingConfig } from '@camphorvane/core';
import { stringify } from 'smol-toml';
import { declarationsOf } from '../declarations/routingConfigOf.ts';

/**
 * Prints a configuration as declarations.
 *
 * @param config - The configuration.
 * @returns TOML, the same bytes for configurations that say the same; see docs/CONFIG.md.
 */
export function toToml(config: RoutingConfig): string {
  const declarations = declarationsOf(ordered(config));
  const filled = Object.entries(declarations).filter(([, list]) => list.length > 0);
  const text = stringify(Object.fromEntries(filled));
  return filled.length === 0 ? '' : `${text.trimEnd()}\n`;
}

/** Order that means nothing is made alphabetical; routes and wait rules keep theirs. */
function ordered(config: RoutingConfig): RoutingConfig {
  return {
    teams: sorted(config.teams, (team) => team.id).map((team) => ({
      ...team,
      keyDigests: [...team.keyDigests].sort(),
      models: [...team.models].sort(),
    })),
    pools: sorted(config.pools, (pool) => pool.model).map((pool) => ({
      ...pool,
      engines: sorted(pool.engines, (engine) => engine.id),
    })),
    services: sorted(config.services, (service) => service.id).map((service) => ({
      ...service,
      servers: sorted(service.servers, (server) => server.id),
    })),
    waitRules: config.waitRules,
    drainedZones: [...(config.drainedZones ?? [])].sort(),
  };
}

function sorted<T>(items: readonly T[], name: (item: T) => string): readonly T[] {
  return [...items].sort((a, b) => (name(a) < name(b) ? -1 : 1));
}
