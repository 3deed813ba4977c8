import type { HostId } from '@camphorvane/core';
import type { FleetMember } from '../host/ports.ts';

/**
 * Gets how many hosts that can act precede one by name: they stay, and reach the upstreams.
 *
 * @param members - All hosts.
 * @param host - The host.
 * @returns The number of hosts; undefined where the host can't act itself.
 */
export function rankAmong(members: readonly FleetMember[], host: HostId): number | undefined {
  const able = members.filter(({ leaving, cutOff }) => !leaving && !cutOff);
  if (!able.some((member) => member.host === host)) return undefined;
  return able.filter((member) => member.host < host).length;
}
