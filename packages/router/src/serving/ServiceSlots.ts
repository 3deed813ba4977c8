import type { Millis, ServiceId } from '@camphorvane/core';
import type { ServiceQueueServer, UpstreamAdmission } from '@camphorvane/decisions';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { ConcurrencyShares } from './ConcurrencyShares.ts';

/** What this host may run of a service now. */
export interface ServiceLimits {
  /** Calls that it may run at once on average. */
  readonly share: number;
  /** Calls that it may run at once now. */
  readonly maxInFlight: number;
  readonly servers: readonly ServiceQueueServer[];
}

/** Computes the limits of this host on the servers of plain services, from its share of their slots. */
export class ServiceSlots {
  private readonly directory: UpstreamDirectory;

  private readonly shares: ConcurrencyShares;

  private readonly admission: UpstreamAdmission;

  /**
   * @param directory - The configured servers.
   * @param shares - This host's share of each service's slots.
   * @param admission - Bounds the calls to each server.
   */
  constructor(
    directory: UpstreamDirectory,
    shares: ConcurrencyShares,
    admission: UpstreamAdmission,
  ) {
    this.directory = directory;
    this.shares = shares;
    this.admission = admission;
  }

  /**
   * Gets the limits by this host's share of the slots, at least one for each server: with fewer, slots stay
   * empty while calls wait on other hosts.
   *
   * @param service - The service.
   * @param hosts - Number of hosts that share the slots.
   * @param now - Present time.
   * @returns The limits.
   */
  getLimits(service: ServiceId, hosts: number, now: Millis): ServiceLimits {
    const servers = this.directory.getService(service)?.servers ?? [];
    const slots = servers.reduce((sum, { maxConcurrent }) => sum + maxConcurrent, 0);
    const share = this.shares.shareOf(service, slots, hosts, now);
    const ratio = share / Math.max(1, slots);
    return {
      share,
      maxInFlight: Math.max(servers.length, Math.floor(share)),
      servers: servers.map(({ id, maxConcurrent }) => ({
        id,
        limit: Math.max(1, Math.min(maxConcurrent, Math.ceil(maxConcurrent * ratio))),
        allowance: this.admission.allowance(id, now),
        openings: this.admission.openings(id, now),
        isReluctant: this.admission.isReluctant(id, now),
      })),
    };
  }
}
