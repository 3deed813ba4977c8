import type { ZoneId } from '@camphorvane/core';
import type { FleetMember } from './ports.ts';

/** Hosts that are named to a caller at least, where there are as many. */
const LEAST_NAMED = 2;

/**
 * Gets where a caller may connect.
 *
 * Where some hosts stand by, callers are spread over the serving hosts of their own zone: an answer holds
 * a bounded number of addresses, and one that is the same for all zones would bring the callers of all of
 * them to the same hosts.
 *
 * @param hosts - All hosts that were heard of lately.
 * @param zone - The caller's zone.
 * @returns Addresses, those of the caller's zone first.
 */
export function callerAddresses(hosts: readonly FleetMember[], zone: ZoneId): readonly string[] {
  const staying = hosts.filter((host) => !host.leaving);
  const serving = staying.filter((host) => host.serving);
  const usable = serving.length >= LEAST_NAMED ? serving : staying;
  const near = usable.filter((host) => host.zone === zone);
  const far = usable.filter((host) => host.zone !== zone);
  const isNearEnough = usable.length < staying.length && near.length >= LEAST_NAMED;
  return (isNearEnough ? near : [...near, ...far]).map((host) => host.callerAddress);
}
