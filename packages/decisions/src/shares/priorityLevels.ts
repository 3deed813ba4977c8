import type { RoutingConfig } from '@camphorvane/core';

/** Priorities of the configuration, each with the next more urgent one. */
export type PriorityLevels = ReadonlyMap<number, number>;

/**
 * Gets the priorities of all routes and teams of a configuration. The numbers may have gaps, so a request
 * that moves up one priority moves to the next one in use.
 *
 * @param config - The configuration.
 * @param defaultPriority - Priority of requests without a route, which the native interface serves.
 * @returns Each priority with the next more urgent one; the most urgent one with itself.
 */
export function priorityLevels(
  { routes, teams }: Pick<RoutingConfig, 'routes' | 'teams'>,
  defaultPriority: number,
): PriorityLevels {
  const ofRoutes = routes?.map(({ priority }) => priority) ?? [defaultPriority];
  const priorities = [...ofRoutes, ...teams.flatMap(({ priority }) => priority ?? [])];
  const sorted = [...new Set(priorities)].sort((a, b) => a - b);
  return new Map(sorted.map((priority, i) => [priority, sorted[i - 1] ?? priority]));
}
