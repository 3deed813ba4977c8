import type { HostId, Incarnation, Millis, ServiceId } from '@camphorvane/core';
import { EndedProcesses, reportedUse, useOf } from './EndedProcesses.ts';
import type { EndedProcess, RetryReport, RetrySummary, SlackUse } from './RetryReport.ts';
import { NO_RETRY_REPORT } from './RetryReport.ts';

/** Milliseconds for which the report of a peer, or of a relay, tells what is used; hosts report more often. */
const REPORT_TTL_MS: Millis = 2_500;

/** Milliseconds that a process waits for what its peers report of the one before it. */
const MIN_HEARD_MS: Millis = 1_000;

/** What a peer says of itself in one message. */
export interface PeerReport {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly leaving: boolean;
  /** Absent where it has nothing to report. */
  readonly retries?: RetryReport;
}

/** A host's part of the slack of one service. */
export interface SlackShare {
  /** Retries that it may send from the slack in a window; may be less than one. */
  readonly retries: number;
  /** Whether its process has run for a window, so that none before it can have used its part. */
  readonly isSettled: boolean;
  /** Number of hosts that share the slack. */
  readonly hosts: number;
}

/** Options of {@link SlackShares}. */
export interface SlackSharesOptions {
  readonly self: HostId;
  /** Length of the window of the budgets, in milliseconds. */
  readonly windowMs: Millis;
  /** When the process of this host started. */
  readonly startedAt: Millis;
}

interface Peer {
  readonly incarnation: Incarnation;
  readonly receivedAt: Millis;
  readonly leaving: boolean;
  readonly report: RetryReport;
}

interface HostCount {
  readonly hosts: number;
  /** Time until which so many hosts may have used their parts. */
  readonly until: Millis;
}

/**
 * Divides the slack of retry budgets, which holds for any window, among the hosts of a fleet.
 *
 * A host that runs for a window or longer knows what it has used, and has an equal part. What a process has used
 * doesn't end with it, so a process that has just started has no part of its own yet: it gets an equal part of what
 * neither its peers nor processes that have ended can have used. A process that was lost is assumed to have used its
 * whole part; one that left has reported what it used. While nobody can tell, the slack counts as used.
 */
export class SlackShares {
  private readonly options: SlackSharesOptions;

  private readonly peers = new Map<HostId, Peer>();

  private readonly ended: EndedProcesses;

  private summary: (RetrySummary & { readonly hosts: number; readonly at: Millis }) | undefined;

  /** Names of the other hosts; undefined until they are known. */
  private peerHosts: readonly HostId[] | undefined;

  private knownSince: Millis = Infinity;

  private readonly earlierCounts: HostCount[] = [];

  /** @param options - This host and the window. */
  constructor(options: SlackSharesOptions) {
    this.options = options;
    this.ended = new EndedProcesses(options.windowMs);
  }

  /** Sets the other hosts that share the slack. A host that is gone may have used its part within the window. */
  setPeers(hosts: readonly HostId[], now: Millis): void {
    if (this.peerHosts === undefined) this.knownSince = now;
    else
      this.earlierCounts.push({ hosts: this.countHosts(now), until: now + this.options.windowMs });
    this.peerHosts = hosts;
    [...this.peers]
      .filter(([, { receivedAt }]) => now - receivedAt > this.options.windowMs)
      .filter(([host]) => !hosts.includes(host))
      .forEach(([host]) => this.peers.delete(host));
  }

  /** Records the process of this host before this one, of which peers may know more. */
  recordEarlierProcess(incarnation: Incarnation, now: Millis): void {
    const { self: host } = this.options;
    this.ended.record({ host, incarnation, ageMs: 0, end: { type: 'lost' } }, now);
  }

  /** Receives the report of a peer. */
  receive({ host, incarnation, leaving, retries }: PeerReport, now: Millis): void {
    const report = retries ?? NO_RETRY_REPORT;
    report.ended.forEach((process) => this.ended.record(process, now));
    if (host === this.options.self || this.ended.has(incarnation)) return;
    const known = this.peers.get(host);
    if (known !== undefined && known.incarnation !== incarnation) this.recordEnd(host, known, now);
    this.peers.set(host, { incarnation, receivedAt: now, leaving, report });
  }

  /**
   * Receives what all peers report together, from a relay.
   *
   * @param summary - The reports; undefined from a relay that sends none.
   * @param hosts - Number of hosts whose reports are in it.
   * @param now - Present time.
   */
  receiveSummary(summary: RetrySummary | undefined, hosts: number, now: Millis): void {
    this.summary = summary === undefined ? undefined : { ...summary, hosts, at: now };
  }

  /**
   * Gets the report of this host.
   *
   * @param used - What it has used of the slack in the last window.
   * @param now - Present time.
   */
  getReport(used: SlackUse, now: Millis): RetryReport {
    return { isNew: !this.isSettled(now), used, ended: this.ended.getReports(now) };
  }

  /** Gets what a relay tells of the processes that have ended. */
  getEnded(now: Millis): Omit<RetrySummary, 'used'> {
    const processes = this.ended.getReports(now);
    const services = processes.flatMap(({ end }) =>
      end.type === 'reported' ? end.used.map(([service]) => service) : [],
    );
    const countOf = (type: EndedProcess['end']['type']): number =>
      processes.filter(({ end }) => end.type === type).length;
    return {
      endedUse: [...new Set(services)].map((name) => [name, reportedUse(processes, name)] as const),
      lost: countOf('lost'),
      lostEarly: countOf('lost_early'),
    };
  }

  /**
   * Gets this host's part of the slack of a service.
   *
   * @param service - The service.
   * @param slack - Retries of all hosts together.
   * @param now - Present time.
   */
  getShare(service: ServiceId, slack: number, now: Millis): SlackShare {
    const hosts = this.countHosts(now);
    const isSettled = this.isSettled(now);
    const isSummaryFresh = this.summary !== undefined && now - this.summary.at < REPORT_TTL_MS;
    const summary = isSummaryFresh ? this.summary : undefined;
    const ended = this.mostEnded(summary, now);
    const equal = slack / hosts;
    const afterLosses = slack - ended.lost * equal - useOf(ended.endedUse, service);
    // A process that was lost within a window had a part of what others had left.
    const left = Math.max(0, afterLosses) * (1 - 1 / hosts) ** ended.lostEarly;
    if (isSettled) return { retries: left / hosts, isSettled, hosts };
    if (!(now - this.knownSince >= MIN_HEARD_MS)) return { retries: 0, isSettled, hosts };
    const inUse =
      summary === undefined
        ? this.usedByPeers(service, equal, now)
        : useOf(summary.used, service) + Math.max(0, hosts - 1 - summary.hosts) * equal;
    return { retries: Math.max(0, left - inUse) / hosts, isSettled, hosts };
  }

  /** Tells whether this process has known its peers for a window. */
  private isSettled(now: Millis): boolean {
    return now - Math.max(this.options.startedAt, this.knownSince) >= this.options.windowMs;
  }

  /** Gets what peers have used of the slack of a service; one that is not heard may have used its part. */
  private usedByPeers(service: ServiceId, equal: number, now: Millis): number {
    const names = new Set([...(this.peerHosts ?? []), ...this.peers.keys()]);
    return [...names].reduce((sum, host) => {
      const peer = this.peers.get(host);
      const isHeard = peer !== undefined && now - peer.receivedAt < REPORT_TTL_MS;
      return sum + (isHeard ? useOf(peer.report.used, service) : equal);
    }, 0);
  }

  /** Gets what is known of ended processes, from a relay where there is one. */
  private mostEnded(summary: RetrySummary | undefined, now: Millis): Omit<RetrySummary, 'used'> {
    const own = this.getEnded(now);
    // A relay may not have heard yet of the process of this host before.
    return summary === undefined ? own : { ...summary, lost: Math.max(own.lost, summary.lost) };
  }

  private recordEnd(
    host: HostId,
    { incarnation, receivedAt, leaving, report }: Peer,
    now: Millis,
  ): void {
    const lost = report.isNew ? ({ type: 'lost_early' } as const) : ({ type: 'lost' } as const);
    const end = leaving ? ({ type: 'reported', used: report.used } as const) : lost;
    this.ended.record({ host, incarnation, ageMs: now - receivedAt, end }, now);
  }

  private countHosts(now: Millis): number {
    while ((this.earlierCounts[0]?.until ?? Infinity) <= now) this.earlierCounts.shift();
    const earlier = this.earlierCounts.map(({ hosts }) => hosts);
    return Math.max((this.peerHosts?.length ?? 0) + 1, ...earlier);
  }
}
