import type { ZoneId } from '@camphorvane/core';
import type { FleetMember } from './ports.ts';

/** Smallest number of hosts listed to a caller, where that many exist. */
const MIN_LISTED_HOSTS = 2;

/**
 * Gets the addresses of the hosts that a caller may connect to.
 *
 * While some hosts are on standby, callers get only the serving hosts of their own zone, if there are
 * enough of them. A list holds a bounded number of addresses, and the same list for all zones would
 * concentrate all callers on the same few hosts.
 *
 * Hosts that have lost their links to upstreams are left out, unless all have.
 *
 * @param hosts - All hosts seen alive recently.
 * @param zone - The availability zone of the caller.
 * @returns Addresses, those in the caller's zone first.
 */
export function callerAddresses(hosts: readonly FleetMember[], zone: ZoneId): readonly string[] {
  const remaining = hosts.filter((host) => !host.leaving);
  const reaching = remaining.filter((host) => !host.cutOff);
  const staying = reaching.length > 0 ? reaching : remaining;
  const serving = staying.filter((host) => host.serving);
  const candidates = serving.length >= MIN_LISTED_HOSTS ? serving : staying;
  const sameZone = candidates.filter((host) => host.zone === zone);
  const otherZones = candidates.filter((host) => host.zone !== zone);
  const isSameZoneEnough =
    candidates.length < staying.length && sameZone.length >= MIN_LISTED_HOSTS;
  return (isSameZoneEnough ? sameZone : [...sameZone, ...otherZones]).map(
    (host) => host.callerAddress,
  );
}
