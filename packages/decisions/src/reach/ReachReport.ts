import type { HostId, Millis, ServiceId } from '@camphorvane/core';

/** The last connection that a host established to upstreams of a service. */
export interface ServiceContact {
  /** The plain service, or the model of the pool. */
  readonly service: ServiceId;
  readonly ageMs: Millis;
}

/** Which services a host reaches, as it reports to other hosts. */
export interface ReachReport {
  readonly contacts: readonly ServiceContact[];
  /** Services none of whose upstreams the host reaches, as far as it has tried. */
  readonly unreached: readonly ServiceId[];
}

/** Hosts that do not reach the same services. */
export interface UnreachedGroup {
  readonly services: readonly ServiceId[];
  readonly hosts: readonly HostId[];
}

/** Which services the hosts of a fleet reach, as a relay of gossip sums it up. */
export interface ReachSummary {
  /** The youngest contact of any host with each service. */
  readonly contacts: readonly ServiceContact[];
  readonly unreached: readonly UnreachedGroup[];
  /** Hosts that report no reach, and that serve no requests of other hosts. */
  readonly silent: readonly HostId[];
}

/**
 * Sums up the reports of several hosts.
 *
 * @param reports - The reports by host; undefined for a host that reports no reach.
 * @returns The summary.
 */
export function summarizeReach(
  reports: readonly (readonly [HostId, ReachReport | undefined])[],
): ReachSummary {
  const known = reports.flatMap(([host, report]) =>
    report === undefined ? [] : [{ host, report }],
  );
  const contacts = known
    .flatMap(({ report }) => report.contacts)
    .reduce(
      (youngest, { service, ageMs }) =>
        youngest.set(service, Math.min(ageMs, youngest.get(service) ?? Infinity)),
      new Map<ServiceId, Millis>(),
    );
  const groups = known
    .filter(({ report }) => report.unreached.length > 0)
    .reduce((all, { host, report }) => {
      const services = [...report.unreached].sort();
      const key = JSON.stringify(services);
      const hosts = [...(all.get(key)?.hosts ?? []), host];
      return all.set(key, { services, hosts });
    }, new Map<string, UnreachedGroup>());
  return {
    contacts: [...contacts].map(([service, ageMs]) => ({ service, ageMs })),
    unreached: [...groups.values()],
    silent: reports.filter(([, report]) => report === undefined).map(([host]) => host),
  };
}
