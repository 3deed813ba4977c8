import type { Millis, ServiceId, UpstreamId } from '@camphorvane/core';
import { GroupReach } from './GroupReach.ts';
import type { UnreachedUpstreams } from './GroupReach.ts';
import type { ReachReport } from './ReachReport.ts';

/** Age of a contact, in milliseconds, from which it is no longer reported. */
const CONTACT_REPORT_MS: Millis = 2_000;

/** Upstreams that can stand in for each other: the servers of a service, or a pool's engines of one role. */
export interface UpstreamGroup {
  /** The plain service, or the model of the pool. */
  readonly service: ServiceId;
  /** Distinguishes the groups of one service. */
  readonly role: string;
  readonly upstreams: readonly UpstreamId[];
}

interface TrackedGroup {
  readonly service: ServiceId;
  readonly reach: GroupReach;
}

/**
 * Which services a host reaches, by its own connections.
 *
 * A service needs all of its groups: without decode engines, a prefill is for nothing.
 */
export class UpstreamReach {
  private groups: ReadonlyMap<string, TrackedGroup> = new Map();

  private groupOf: ReadonlyMap<UpstreamId, TrackedGroup> = new Map();

  /** Applies changed groups; what is known of upstreams that stay listed is kept. */
  setGroups(groups: readonly UpstreamGroup[]): void {
    const tracked = groups
      .filter(({ upstreams }) => upstreams.length > 0)
      .map(({ service, role, upstreams }) => {
        const key = JSON.stringify([service, role]);
        const group = this.groups.get(key) ?? { service, reach: new GroupReach() };
        group.reach.setUpstreams(upstreams);
        return { key, group, upstreams };
      });
    this.groups = new Map(tracked.map(({ key, group }) => [key, group]));
    this.groupOf = new Map(
      tracked.flatMap(({ group, upstreams }) => upstreams.map((id) => [id, group] as const)),
    );
  }

  /** Gets the service of an upstream; undefined for one that is not listed. */
  getService(upstream: UpstreamId): ServiceId | undefined {
    return this.groupOf.get(upstream)?.service;
  }

  /** Records an established connection to an upstream; see {@link GroupReach.recordContact}. */
  recordContact(upstream: UpstreamId, attemptedAt: Millis): void {
    this.groupOf.get(upstream)?.reach.recordContact(upstream, attemptedAt);
  }

  /** Records a connection to an upstream that could not be established. */
  recordFailure(upstream: UpstreamId, attemptedAt: Millis): void {
    this.groupOf.get(upstream)?.reach.recordFailure(upstream, attemptedAt);
  }

  /** Tells whether connections to upstreams of a service have failed and none was established since. */
  isDoubtful(service: ServiceId): boolean {
    return this.groupsOf(service).some(({ reach }) => reach.isDoubtful());
  }

  /** Gets what this host does not reach of a service; undefined where it reaches each of its groups. */
  getUnreached(service: ServiceId): UnreachedUpstreams | undefined {
    return this.groupsOf(service)
      .flatMap(({ reach }) => reach.getUnreached() ?? [])
      .sort((a, b) => a.since - b.since)[0];
  }

  /** Gets all services. */
  getServices(): readonly ServiceId[] {
    return [...new Set([...this.groups.values()].map(({ service }) => service))];
  }

  /** Gets the services that this host does not reach. */
  getUnreachedServices(): readonly ServiceId[] {
    const unreached = [...this.groups.values()].filter(
      ({ reach }) => reach.getUnreached() !== undefined,
    );
    return [...new Set(unreached.map(({ service }) => service))];
  }

  /**
   * Gets the upstreams to probe, to find out whether this host reaches a service.
   *
   * @param service - The service.
   * @param count - Most upstreams of each group.
   * @returns Upstreams of its doubtful groups, the most telling first; see {@link GroupReach.getMostTelling}.
   */
  getProbeTargets(service: ServiceId, count: number): readonly UpstreamId[] {
    return this.groupsOf(service)
      .filter(({ reach }) => reach.isDoubtful())
      .flatMap(({ reach }) => reach.getMostTelling().slice(0, count));
  }

  /** Gets what to report to other hosts. */
  getReport(now: Millis): ReachReport {
    const contacts = this.getServices()
      .map((service) => ({
        service,
        ageMs: now - Math.min(...this.groupsOf(service).map(({ reach }) => reach.getContactAt())),
      }))
      .filter(({ ageMs }) => ageMs < CONTACT_REPORT_MS);
    return { contacts, unreached: this.getUnreachedServices() };
  }

  private groupsOf(service: ServiceId): readonly TrackedGroup[] {
    return [...this.groups.values()].filter((group) => group.service === service);
  }
}
