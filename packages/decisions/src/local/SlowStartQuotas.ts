import type { HostId, UpstreamId } from '@camphorvane/core';
import { slowStartQuota } from './slowStartQuota.ts';

/**
 * Keeps the quotas of one host. They are asked for with each placement, for each upstream that starts, and
 * change only with the hosts that share the bounds.
 */
export class SlowStartQuotas {
  private readonly self: HostId;

  private hosts: readonly HostId[] = [];

  private readonly quotas = new Map<string, number>();

  /** @param self - The host. */
  constructor(self: HostId) {
    this.self = self;
  }

  /** Gets the quota for an upstream; see {@link slowStartQuota}. */
  get(upstream: UpstreamId, hosts: readonly HostId[], requestsPerSecond: number): number {
    if (hosts !== this.hosts) {
      this.hosts = hosts;
      this.quotas.clear();
    }
    const key = `${requestsPerSecond} ${upstream}`;
    const known = this.quotas.get(key);
    if (known !== undefined) return known;
    const quota = slowStartQuota(upstream, this.self, hosts, requestsPerSecond);
    this.quotas.set(key, quota);
    return quota;
  }
}
