import type { HostId, Millis, ServiceId } from '@camphorvane/core';
import type { ReachReport, ReachSummary, ServiceContact } from './ReachReport.ts';

/** Milliseconds after its last contact with a service for which a host counts as reaching it. */
const CONTACT_TTL_MS: Millis = 2_500;

interface ReceivedReport {
  /** Services that the host does not reach, and since when this host has known it. */
  readonly unreached: ReadonlyMap<ServiceId, Millis>;
  readonly expiresAt: Millis;
}

/** Which services the other hosts reach, by their own reports or by those of a relay of gossip. */
export class PeerReach {
  private reports: ReadonlyMap<HostId, ReceivedReport> = new Map();

  /** Number of hosts whose reports name unreached services. */
  private unreachedCount = 0;

  /** Hosts that report no reach, by the last summary; undefined where hosts report by themselves. */
  private silent: ReadonlySet<HostId> | undefined;

  private summaryExpiresAt: Millis = -Infinity;

  /** Time of the last contact of any other host with each service. */
  private contactAt: ReadonlyMap<ServiceId, Millis> = new Map();

  /**
   * Receives the report of one host.
   *
   * @param host - The host.
   * @param report - Its report; undefined where it reports no reach.
   * @param expiresAt - Time at which the report no longer counts.
   * @param now - Present time.
   */
  receive(host: HostId, report: ReachReport | undefined, expiresAt: Millis, now: Millis): void {
    this.silent = undefined;
    const others = [...this.reports].filter(
      ([other, received]) => other !== host && received.expiresAt >= now,
    );
    const received = report && this.toReceived(host, report.unreached, expiresAt, now);
    this.setReports(new Map(received === undefined ? others : [...others, [host, received]]));
    this.recordContacts(report?.contacts ?? [], now);
  }

  /**
   * Receives the reports of all hosts from a relay of gossip, in place of all earlier ones.
   *
   * @param summary - The summary; undefined where the relay sums up no reach.
   * @param expiresAt - Time at which it no longer counts.
   * @param now - Present time.
   */
  receiveSummary(summary: ReachSummary | undefined, expiresAt: Millis, now: Millis): void {
    const rows = summary?.unreached ?? [];
    this.setReports(
      new Map(
        rows.flatMap(({ services, hosts }) =>
          hosts.map((host) => [host, this.toReceived(host, services, expiresAt, now)] as const),
        ),
      ),
    );
    this.silent = summary && new Set(summary.silent);
    this.summaryExpiresAt = expiresAt;
    this.recordContacts(summary?.contacts ?? [], now);
  }

  /** Tells whether a host serves requests of other hosts, and does not report that it can't reach a service. */
  canServe(host: HostId, service: ServiceId, now: Millis): boolean {
    const report = this.freshReport(host, now);
    if (report !== undefined) return !report.unreached.has(service);
    return this.silent !== undefined && now <= this.summaryExpiresAt && !this.silent.has(host);
  }

  /**
   * Tells whether any other host has reached a service.
   *
   * @param service - The service.
   * @param since - Earliest time that counts.
   * @param now - Present time.
   */
  isReached(service: ServiceId, since: Millis, now: Millis): boolean {
    const at = this.contactAt.get(service) ?? -Infinity;
    return at >= since && now - at < CONTACT_TTL_MS;
  }

  /** Tells whether any host has reported a service that it does not reach. */
  hasUnreached(): boolean {
    return this.unreachedCount > 0;
  }

  /** Tells whether a host has lost its links: others have reached a service since it no longer does. */
  isCutOff(host: HostId, now: Millis): boolean {
    const unreached = this.freshReport(host, now)?.unreached ?? [];
    return [...unreached].some(([service, since]) => this.isReached(service, since, now));
  }

  private setReports(reports: ReadonlyMap<HostId, ReceivedReport>): void {
    this.reports = reports;
    this.unreachedCount = [...reports.values()].filter(
      ({ unreached }) => unreached.size > 0,
    ).length;
  }

  private toReceived(
    host: HostId,
    services: readonly ServiceId[],
    expiresAt: Millis,
    now: Millis,
  ): ReceivedReport {
    const before = this.reports.get(host)?.unreached;
    const unreached = new Map(services.map((service) => [service, before?.get(service) ?? now]));
    return { unreached, expiresAt };
  }

  private recordContacts(contacts: readonly ServiceContact[], now: Millis): void {
    const newest = contacts.map(({ service, ageMs }): [ServiceId, Millis] => [
      service,
      Math.max(now - ageMs, this.contactAt.get(service) ?? -Infinity),
    ]);
    const recent = [...this.contactAt].filter(([, at]) => now - at < CONTACT_TTL_MS);
    this.contactAt = new Map([...recent, ...newest]);
  }

  private freshReport(host: HostId, now: Millis): ReceivedReport | undefined {
    const report = this.reports.get(host);
    return report === undefined || report.expiresAt < now ? undefined : report;
  }
}
