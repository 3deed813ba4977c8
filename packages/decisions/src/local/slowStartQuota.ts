import type { HostId, UpstreamId } from '@camphorvane/core';
import { rendezvousOrder } from '@camphorvane/core';

/**
 * Gets a host's part of the requests that all hosts together may send to an upstream in a second.
 *
 * Whole requests are dealt out, so that the parts never add up to more than the bound. What does not
 * divide goes to other hosts for each upstream.
 *
 * @param upstream - The upstream.
 * @param self - The host.
 * @param hosts - All hosts that share the bound.
 * @param requestsPerSecond - The bound.
 * @returns A whole number; 0 for a host that does not share the bound.
 */
export function slowStartQuota(
  upstream: UpstreamId,
  self: HostId,
  hosts: readonly HostId[],
  requestsPerSecond: number,
): number {
  if (!hosts.includes(self)) return 0;
  const each = Math.floor(requestsPerSecond / hosts.length);
  const left = Math.floor(requestsPerSecond) - each * hosts.length;
  const isExtra = left > 0 && rendezvousOrder(upstream, hosts).slice(0, left).includes(self);
  return isExtra ? each + 1 : each;
}
