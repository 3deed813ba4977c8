import type { RoutingConfig, SlowStartBounds, UpstreamId } from '@camphorvane/core';

/**
 * Gets the bounds of all upstreams of a configuration that must not get their full load at once.
 *
 * @param config - The configuration.
 * @returns Bounds by upstream; upstreams without any are left out.
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
