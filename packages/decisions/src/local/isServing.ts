import type { HostId, ZoneId } from '@camphorvane/core';

/** A host that may be chosen to serve callers. */
export interface ServingCandidate {
  readonly host: HostId;
  /** Capacity of the host, relative to the others. */
  readonly strength: number;
}

/** Largest fleet, in hosts, in which every host serves callers. */
const ALL_SERVE_MAX_HOSTS = 20;

/** Fraction of the capacity of a zone that serves callers; the rest is on standby. */
export const SERVING_FRACTION = 1 / 3;

/** Fewest serving hosts of a zone, so that callers of a host that has crashed find another one. */
const MIN_SERVING_HOSTS = 3;

/**
 * Gets whether a host serves callers or is on standby.
 *
 * A large fleet can have many more hosts than its load needs. With a few callers on each, every host
 * would place requests without having seen those of the others, and engines would refuse what does not
 * fit. So the strongest hosts of each zone serve, and the next one takes over when one of them times out.
 * There is no election: each host decides for itself, by the gossip it receives.
 *
 * @param host - The host.
 * @param zoneHosts - Hosts of its zone that are up, itself included, in order of decreasing strength.
 * @param fleetSize - Number of hosts in the whole fleet.
 * @returns Whether it serves callers.
 */
export function isServing(
  host: HostId,
  zoneHosts: readonly ServingCandidate[],
  fleetSize: number,
): boolean {
  if (fleetSize <= ALL_SERVE_MAX_HOSTS) return true;
  const index = zoneHosts.findIndex((candidate) => candidate.host === host);
  if (index < MIN_SERVING_HOSTS) return true;
  const total = totalStrength(zoneHosts);
  return totalStrength(zoneHosts.slice(0, index)) < total * SERVING_FRACTION;
}

/**
 * Gets the hosts of a fleet that serve callers while all hosts are up.
 *
 * @param fleet - All hosts, in order of decreasing strength.
 * @returns Names of the serving hosts, by zone and strength.
 */
export function servingHosts(
  fleet: readonly (ServingCandidate & { readonly zone: ZoneId })[],
): readonly HostId[] {
  const zones = [...new Set(fleet.map(({ zone }) => zone))].sort();
  return zones.flatMap((zone) => {
    const zoneHosts = fleet.filter((candidate) => candidate.zone === zone);
    return zoneHosts
      .filter(({ host }) => isServing(host, zoneHosts, fleet.length))
      .map(({ host }) => host);
  });
}

function totalStrength(hosts: readonly ServingCandidate[]): number {
  return hosts.reduce((sum, { strength }) => sum + strength, 0);
}
