import type { HostId, UpstreamId } from '@camphorvane/core';
import { slowStartQuota } from './slowStartQuota.ts';

/**
 * Caches the slow-start quotas of one host. They are needed at each placement, for each upstream that is
 * starting, but change only with the hosts that share the bounds.
 */
export class SlowStartQuotas {
  private readonly self: HostId;

  private hosts: readonly HostId[] = [];

  private readonly quotas = new Map<string, number>();

  /** @param self - The host whose quotas these are. */
  constructor(self: HostId) {
    this.self = self;
  }

  /**
   * Gets the quota for an upstream; see {@link slowStartQuota}.
   *
   * @param upstream - The upstream.
   * @param hosts - All hosts that share the bound. The cache is cleared when it is another array.
   * @param requestsPerSecond - The bound.
   * @returns Requests per second.
   */
  get(upstream: UpstreamId, hosts: readonly HostId[], requestsPerSecond: number): number {
    if (hosts !== this.hosts) {
      this.hosts = hosts;
      this.quotas.clear();
    }
    const key = `${requestsPerSecond} ${upstream}`;
    const cached = this.quotas.get(key);
    if (cached !== undefined) return cached;
    const quota = slowStartQuota(upstream, this.self, hosts, requestsPerSecond);
    this.quotas.set(key, quota);
    return quota;
  }
}
