import type { HostId, ZoneId } from '@camphorvane/core';

/** A host that could take callers. */
export interface ServingCandidate {
  readonly host: HostId;
  /** How much it can carry, against others. */
  readonly strength: number;
}

/** Hosts up to which all of a fleet take callers. */
const SERVE_ALL_UP_TO = 20;

/** Part of a zone's strength that takes callers; the rest stands by. */
export const SERVING_PART = 1 / 3;

/** Hosts of a zone that take callers at least, so that callers can leave one that has died. */
const LEAST_SERVING = 3;

/**
 * Tells whether a host takes callers, or stands by for those that do.
 *
 * Made for fleets with many more hosts than the load needs: with a few callers on each, every host
 * places on what others placed unseen by it, and engines refuse what does not fit. The strongest hosts
 * of each zone take the callers; another one follows when one of them falls silent. Nobody is elected:
 * each host decides for itself, by the hints that it receives.
 *
 * @param host - The host.
 * @param zone - The hosts of its zone that are up, itself included, the strongest first.
 * @param fleet - Hosts of the whole fleet.
 * @returns Whether it takes callers.
 */
export function isServing(host: HostId, zone: readonly ServingCandidate[], fleet: number): boolean {
  if (fleet <= SERVE_ALL_UP_TO) return true;
  const index = zone.findIndex((one) => one.host === host);
  if (index < LEAST_SERVING) return true;
  const all = strengthOf(zone);
  return strengthOf(zone.slice(0, index)) < all * SERVING_PART;
}

/**
 * Gets the hosts of a fleet that take callers while all of them are up.
 *
 * @param fleet - All hosts, the strongest first.
 * @returns Their names, by zone and strength.
 */
export function servingHosts(
  fleet: readonly (ServingCandidate & { readonly zone: ZoneId })[],
): readonly HostId[] {
  const zones = [...new Set(fleet.map(({ zone }) => zone))].sort();
  return zones.flatMap((zone) => {
    const inZone = fleet.filter((one) => one.zone === zone);
    return inZone
      .filter(({ host }) => isServing(host, inZone, fleet.length))
      .map(({ host }) => host);
  });
}

function strengthOf(hosts: readonly ServingCandidate[]): number {
  return hosts.reduce((sum, { strength }) => sum + strength, 0);
}
