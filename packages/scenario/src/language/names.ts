import type { EngineRole, HostId, ServiceId, UpstreamId, ZoneId } from '@camphorvane/core';
import type { Scenario } from './scenarioSchema.ts';

/** Stands for all upstreams where a step names the end of a link. */
export const ALL_UPSTREAMS = 'upstreams';

const numbered = (prefix: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `${prefix}${index + 1}`);

/** Gets the hosts' names: h1, h2 and so on. */
export function hostNames(scenario: Scenario): readonly HostId[] {
  return numbered('h', scenario.fleet.hosts);
}

/** Gets the zone of the nth host, engine or server; they go round the zones. */
export function zoneOf(scenario: Scenario, index: number): ZoneId {
  return `zone-${(index % scenario.fleet.zones) + 1}`;
}

/** Gets the names of a pool's engines: MODEL-p1 and so on prefill, MODEL-d1 and so on decode. */
export function engineNames(
  pool: Scenario['pool'][number],
): readonly { readonly id: UpstreamId; readonly role: EngineRole }[] {
  return [
    ...numbered(`${pool.model}-p`, pool.prefill).map((id) => ({ id, role: 'prefill' as const })),
    ...numbered(`${pool.model}-d`, pool.decode).map((id) => ({ id, role: 'decode' as const })),
  ];
}

/** Gets the names of a service's servers: SERVICE-1 and so on. */
export function serverNames(service: {
  readonly id: ServiceId;
  readonly servers: number;
}): readonly UpstreamId[] {
  return numbered(`${service.id}-`, service.servers);
}

/** Gets the names of all upstreams. */
export function upstreamNames(scenario: Scenario): readonly UpstreamId[] {
  return [
    ...scenario.pool.flatMap((pool) => engineNames(pool).map((engine) => engine.id)),
    ...scenario.service.flatMap(serverNames),
  ];
}
