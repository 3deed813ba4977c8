import type { HostId, UpstreamId } from '@camphorvane/core';
import { hashNumber } from '@camphorvane/core';

/**
 * Gets a host's part of the requests that all hosts together may send to an upstream in a second.
 *
 * Whole requests are dealt out, so that the parts never add up to more than the bound. What does not
 * divide goes to a run of hosts that begins elsewhere for each upstream.
 *
 * @param upstream - The upstream.
 * @param self - The host.
 * @param hosts - All hosts that share the bound, in an order that all agree on.
 * @param requestsPerSecond - The bound.
 * @returns A whole number; 0 for a host that does not share the bound.
 */
export function slowStartQuota(
  upstream: UpstreamId,
  self: HostId,
  hosts: readonly HostId[],
  requestsPerSecond: number,
): number {
  const index = hosts.indexOf(self);
  if (index < 0) return 0;
  const each = Math.floor(requestsPerSecond / hosts.length);
  const left = Math.floor(requestsPerSecond) - each * hosts.length;
  const first = hashNumber(upstream) % hosts.length;
  const place = (index - first + hosts.length) % hosts.length;
  return place < left ? each + 1 : each;
}
