import type { HostId, UpstreamId } from '@camphorvane/core';
import { hashToUint48 } from '@camphorvane/core';

/**
 * Gets the share of one host in the requests per second that all hosts together may send to an upstream.
 *
 * Shares are whole numbers, so that their sum never exceeds the bound. The remainder goes to consecutive
 * hosts, which begin at a different host for each upstream.
 *
 * @param upstream - The upstream.
 * @param self - The host.
 * @param hosts - All hosts that share the bound, in the same order on each of them.
 * @param requestsPerSecond - The bound.
 * @returns Requests per second, a whole number; 0 for a host that does not share the bound.
 */
export function slowStartQuota(
  upstream: UpstreamId,
  self: HostId,
  hosts: readonly HostId[],
  requestsPerSecond: number,
): number {
  const index = hosts.indexOf(self);
  if (index < 0) return 0;
  const base = Math.floor(requestsPerSecond / hosts.length);
  const remainder = Math.floor(requestsPerSecond) - base * hosts.length;
  const firstIndex = hashToUint48(upstream) % hosts.length;
  const offset = (index - firstIndex + hosts.length) % hosts.length;
  return offset < remainder ? base + 1 : base;
}
