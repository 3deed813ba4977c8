import type { RoutingConfig, SlowStartBounds, UpstreamId } from '@camphorvane/core';

/**
 * Collects the slow-start bounds of all upstreams in a configuration.
 *
 * @param config - The configuration.
 * @returns Bounds by upstream id; upstreams without slow start are omitted.
 */
export function slowStartBounds({
  pools,
  services,
}: Pick<RoutingConfig, 'pools' | 'services'>): ReadonlyMap<UpstreamId, SlowStartBounds> {
  const upstreams = [
    ...pools.flatMap(({ engines }) => engines),
    ...services.flatMap(({ servers }) => servers),
  ];
  return new Map(
    upstreams.flatMap(({ id, slowStart }) => (slowStart === undefined ? [] : [[id, slowStart]])),
  );
}
