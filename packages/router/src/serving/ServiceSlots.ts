import type { Clock, HostId, Millis, ServiceId, ServiceServer } from '@camphorvane/core';
import { rankOf, roundShare, SHARE_PERIOD_MS } from '@camphorvane/decisions';
import type { ServiceQueueServer, UpstreamAdmission } from '@camphorvane/decisions';
import type { FleetMember } from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { ConcurrencyShares } from './ConcurrencyShares.ts';

/** This host and the hosts of its fleet. */
export interface SlotSharers {
  readonly host: HostId;
  /** Gets all hosts, this one included. */
  readonly members: () => readonly FleetMember[];
}

/** What this host may run of a service now. */
export interface ServiceLimits {
  /** Calls that it may run at once on average. */
  readonly share: number;
  /** Calls that it may expect to run at once on average, once its peers know of its present calls. */
  readonly capacity: number;
  /** Calls that it may run at once now. */
  readonly maxInFlight: number;
  readonly servers: readonly ServiceQueueServer[];
}

interface SharingHosts {
  readonly readAt: Millis;
  /** Number of all hosts. */
  readonly hosts: number;
  /** Hosts that take callers, and this one. */
  readonly serving: readonly HostId[];
}

/** Milliseconds for which the list of hosts is kept: with hundreds of hosts it is too costly for each call. */
const HOSTS_TTL_MS: Millis = SHARE_PERIOD_MS;

/**
 * Largest factor by which a share, or an equal part of the slots, grows within {@link GROWTH_PERIOD_MS}. A host
 * knows of its own calls before it hears of those of its peers: at the start of a burst on all hosts, each of
 * them would take most of the slots until it hears of the others.
 */
const MAX_GROWTH = 2;

/** Milliseconds in which a share may grow by that factor: about the time that a report takes through a relay. */
const GROWTH_PERIOD_MS: Millis = 200;

/** Computes the limits of this host on the servers of plain services, from its share of their slots. */
export class ServiceSlots {
  private readonly clock: Clock;

  private readonly directory: UpstreamDirectory;

  private readonly shares: ConcurrencyShares;

  private readonly admission: UpstreamAdmission;

  private readonly sharers: SlotSharers | undefined;

  private sharingHosts: SharingHosts | undefined;

  /** Recent share of each service, from which its growth is limited. */
  private readonly lastShares = new Map<
    ServiceId,
    { readonly at: Millis; readonly share: number }
  >();

  /**
   * @param clock - Clock of the rotation of whole slots.
   * @param directory - The configured servers.
   * @param shares - This host's share of each service's slots.
   * @param admission - Bounds the calls to each server.
   * @param sharers - The hosts among which whole slots rotate; undefined where they never do.
   */
  constructor(
    clock: Clock,
    directory: UpstreamDirectory,
    shares: ConcurrencyShares,
    admission: UpstreamAdmission,
    sharers: SlotSharers | undefined,
  ) {
    this.clock = clock;
    this.directory = directory;
    this.shares = shares;
    this.admission = admission;
    this.sharers = sharers;
  }

  /**
   * Gets the limits by this host's share of the slots, at least one for each server.
   *
   * @param service - The service.
   * @param hosts - Number of hosts that share the slots.
   * @param now - Present time.
   * @returns The limits.
   */
  getLimits(service: ServiceId, hosts: number, now: Millis): ServiceLimits {
    const servers = this.serversOf(service);
    const slots = sumSlots(servers);
    const share = this.shares.shareOf(service, slots, hosts, now);
    const ratio = share / Math.max(1, slots);
    return {
      share,
      capacity: share,
      maxInFlight: Math.max(servers.length, Math.floor(share)),
      servers: servers.map(({ id, maxConcurrent }) => ({
        ...this.boundsOf(id, now),
        limit: Math.max(1, Math.min(maxConcurrent, Math.ceil(maxConcurrent * ratio))),
      })),
    };
  }

  /**
   * Gets the limits in whole slots, of which the hosts together have as many as the servers.
   *
   * The limit for each server follows from the bound for all. Hosts with few slots prefer different servers,
   * so that their calls don't meet at one server while another one is free.
   *
   * @param service - The service.
   * @param demand - Present calls of this host.
   * @param now - Present time.
   * @returns The limits in the present period of the rotation.
   */
  getWholeLimits(service: ServiceId, demand: number, now: Millis): ServiceLimits {
    const servers = this.serversOf(service);
    const slots = sumSlots(servers);
    const { hosts, serving } = this.getSharingHosts(now);
    const host = this.sharers?.host ?? '';
    const fleet = { hosts, serving: serving.length };
    const equalShare = slots / serving.length;
    const reported = this.shares.slotShareOf(service, slots, fleet, now);
    const share = this.limitGrowth(service, reported, equalShare, now);
    const expected = this.shares.slotShareOf(service, slots, fleet, now, demand);
    const mostExpected = Math.max(share, equalShare) * MAX_GROWTH;
    const maxInFlight = roundShare(share, host, serving, this.clock.wall());
    const ratio = maxInFlight / Math.max(1, slots);
    const first = rankOf(host, serving);
    return {
      share,
      capacity: Math.max(share, Math.min(expected, mostExpected)),
      maxInFlight,
      servers: servers.map(({ id, maxConcurrent }, index) => ({
        ...this.boundsOf(id, now),
        limit: Math.min(maxConcurrent, Math.ceil(maxConcurrent * ratio)),
        preference: (index + first) % servers.length,
      })),
    };
  }

  /** Gets the milliseconds until the next period of the rotation. */
  getPeriodLeftMs(): Millis {
    return SHARE_PERIOD_MS - (this.clock.wall() % SHARE_PERIOD_MS);
  }

  /** Limits how fast a share grows; see {@link MAX_GROWTH}. */
  private limitGrowth(service: ServiceId, share: number, equalShare: number, now: Millis): number {
    const last = this.lastShares.get(service) ?? { at: -Infinity, share: equalShare };
    const limited = Math.min(share, Math.max(last.share, equalShare) * MAX_GROWTH);
    if (now - last.at >= GROWTH_PERIOD_MS)
      this.lastShares.set(service, { at: now, share: limited });
    return limited;
  }

  private serversOf(service: ServiceId): readonly ServiceServer[] {
    return this.directory.getService(service)?.servers ?? [];
  }

  private boundsOf(id: string, now: Millis): Omit<ServiceQueueServer, 'limit'> {
    return {
      id,
      allowance: this.admission.allowance(id, now),
      openings: this.admission.openings(id, now),
      isReluctant: this.admission.isReluctant(id, now),
    };
  }

  private getSharingHosts(now: Millis): SharingHosts {
    const known = this.sharingHosts;
    if (known !== undefined && now - known.readAt < HOSTS_TTL_MS) return known;
    const members = this.sharers?.members() ?? [];
    const own = this.sharers?.host ?? '';
    const serving = members
      .filter((member) => member.host !== own && member.serving && !member.leaving)
      .map(({ host }) => host);
    const read = { readAt: now, hosts: Math.max(1, members.length), serving: [...serving, own] };
    this.sharingHosts = read;
    return read;
  }
}

function sumSlots(servers: readonly ServiceServer[]): number {
  return servers.reduce((sum, { maxConcurrent }) => sum + maxConcurrent, 0);
}
