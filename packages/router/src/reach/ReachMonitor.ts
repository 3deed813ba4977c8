import type {
  Clock,
  HostId,
  Millis,
  Refusal,
  ServiceId,
  UpstreamId,
  ZoneId,
} from '@camphorvane/core';
import { notRun, runInBackground, sleep } from '@camphorvane/core';
import { chooseRoute, PeerReach, UpstreamReach } from '@camphorvane/decisions';
import type {
  ReachReport,
  UnreachedUpstreams,
  UpstreamGroup,
  UpstreamRoute,
} from '@camphorvane/decisions';
import type { ConnectAttempt, ConnectObserver, UpstreamProbe } from '@camphorvane/upstream';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Unsubscribe } from '../host/ports.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';

/**
 * Milliseconds after which a connection that is not established makes this host doubt its links; one between
 * zones takes about two.
 */
const SLOW_CONNECT_MS: Millis = 100;

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS: Millis = 150;

/** Milliseconds between two rounds of probes; the end of a cut is noticed as soon. */
const PROBE_INTERVAL_MS: Millis = 100;

/** Upstreams of each group that are probed in a round: as many as must have failed before links are doubted. */
const PROBES_PER_ROUND = 3;

/** Retry-after in milliseconds where no host reaches the upstreams; most such outages last seconds. */
const OUTAGE_RETRY_MS: Millis = 1_000;

const ROUTES: readonly UpstreamRoute[] = ['direct', 'relayed', 'none'];

const log = eventLog('reach');

/** Attempt to connect to an upstream that is no longer listed. */
const UNOBSERVED: ConnectAttempt = {
  connected: () => undefined,
  failed: () => undefined,
  cancelled: () => undefined,
};

/** A host that may serve requests in place of this one. */
export interface RelayPeer {
  readonly host: HostId;
  readonly zone: ZoneId;
  /** `ip:port` for messages of peers. */
  readonly peerAddress: string;
}

/** Options of a {@link ReachMonitor}. */
export interface ReachMonitorOptions {
  readonly clock: Clock;
  readonly directory: UpstreamDirectory;
  readonly metrics: Metrics;
  /** Connects to an upstream without sending anything; absent where links are not monitored. */
  readonly probe?: UpstreamProbe;
}

/** A change of the way to the upstreams of a service. */
export interface ReachChange {
  readonly service: ServiceId;
  readonly route: UpstreamRoute;
  /** When this host had lost its links, where it has them back and other hosts had theirs; else undefined. */
  readonly linksBackSince?: Millis;
}

/** What a host last concluded of its links to the upstreams of a service. */
interface Conclusion {
  readonly route: UpstreamRoute;
  readonly since: Millis;
}

/**
 * Finds out whether this host reaches the upstreams of each service, by the connections that it attempts, by
 * probes while these fail, and by the reports of its peers.
 */
export class ReachMonitor implements ConnectObserver {
  /** Which services the other hosts reach. */
  readonly peers = new PeerReach();

  private readonly options: ReachMonitorOptions;

  private readonly own = new UpstreamReach();

  /** Conclusions that differ from the direct way. */
  private readonly conclusions = new Map<ServiceId, Conclusion>();

  private readonly probing = new Set<ServiceId>();

  /** Gives up the connections that are not established, by service. */
  private readonly connecting = new Map<ServiceId, Set<() => void>>();

  private readonly listeners = new Set<(change: ReachChange) => void>();

  private getPeers: () => readonly RelayPeer[] = () => [];

  private readonly stopped = new AbortController();

  /** @param options - Clock, upstreams and probe. */
  constructor(options: ReachMonitorOptions) {
    this.options = options;
  }

  /** Sets what gets the live peers that can serve requests in place of this host. */
  setPeers(getPeers: () => readonly RelayPeer[]): void {
    this.getPeers = getPeers;
  }

  /** Registers a listener for changes of the way to a service's upstreams. */
  onChange(listener: (change: ReachChange) => void): Unsubscribe {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Re-reads the upstreams of the configuration in force. */
  refresh(): void {
    if (this.options.probe === undefined) return;
    this.own.setGroups(groupsOf(this.options.directory));
    [...this.conclusions.keys()].forEach((service) => this.conclude(service));
    this.updateGauge();
  }

  /** Stops probing. */
  stop(): void {
    this.stopped.abort();
  }

  /** {@inheritDoc ConnectObserver.begin} */
  begin(upstream: UpstreamId, giveUp: () => void): ConnectAttempt {
    const { clock } = this.options;
    const service = this.own.getService(upstream);
    if (service === undefined) return UNOBSERVED;
    const attemptedAt = clock.now();
    const pending = this.connecting.get(service) ?? new Set();
    this.connecting.set(service, pending.add(giveUp));
    const cancelTimer = clock.after(SLOW_CONNECT_MS, () => this.recordSlow(upstream, attemptedAt));
    const end = (): void => {
      cancelTimer();
      pending.delete(giveUp);
    };
    return {
      connected: () => {
        end();
        this.recordContact(upstream, attemptedAt);
      },
      failed: () => {
        end();
        this.recordFailure(upstream, attemptedAt);
      },
      cancelled: end,
    };
  }

  /** Gets the way of requests for a service to its upstreams. */
  getRoute(service: ServiceId): UpstreamRoute {
    const unreached = this.own.getUnreached(service);
    if (unreached === undefined) return 'direct';
    const hasPeer = this.getRelayPeers(service).length > 0;
    return chooseRoute(unreached, hasPeer, this.options.clock.now());
  }

  /** Tells whether connections to a service's upstreams have failed, and none was established since. */
  isDoubtful(service: ServiceId): boolean {
    return this.own.isDoubtful(service);
  }

  /** Gets the live peers that reach a service, as far as is known. */
  getRelayPeers(service: ServiceId): readonly RelayPeer[] {
    const now = this.options.clock.now();
    return this.getPeers().filter(({ host }) => this.peers.canServe(host, service, now));
  }

  /** Gets the refusal of a request that this host can't send to the upstreams; undefined where it can. */
  refusalFor(service: ServiceId): Refusal | undefined {
    const route = this.getRoute(service);
    switch (route) {
      case 'direct':
        return undefined;
      case 'relayed':
        return notRun('upstreams_unreachable', 'This host reaches no upstream.', PROBE_INTERVAL_MS);
      case 'none':
        return notRun('upstreams_unreachable', 'No host reaches the upstreams.', OUTAGE_RETRY_MS);
      default:
        return route satisfies never;
    }
  }

  /** Tells whether this host has lost its links: it does not reach a service that other hosts reach. */
  isCutOff(): boolean {
    const now = this.options.clock.now();
    return [...this.conclusions].some(([service, { since }]) =>
      this.peers.isReached(service, since, now),
    );
  }

  /** Gets what to report to other hosts; undefined where this host serves no requests of others. */
  getReport(): ReachReport | undefined {
    if (this.options.probe === undefined) return undefined;
    return this.own.getReport(this.options.clock.now());
  }

  /** Applies what peers have reported to the conclusions of this host. */
  recordPeerReports(): void {
    [...this.conclusions.keys()].forEach((service) => this.conclude(service));
  }

  /** Gets the state for the state dump. */
  dump(): object {
    return Object.fromEntries([...this.conclusions].map(([id, { route }]) => [id, route]));
  }

  private recordSlow(upstream: UpstreamId, attemptedAt: Millis): void {
    // After a stall of the event loop, the timer runs before a connection that is established by now is seen.
    this.options.clock.after(0, () => this.recordFailure(upstream, attemptedAt));
  }

  private recordContact(upstream: UpstreamId, attemptedAt: Millis): void {
    const service = this.own.getService(upstream);
    this.own.recordContact(upstream, attemptedAt);
    if (service !== undefined && this.conclusions.has(service)) this.conclude(service);
  }

  private recordFailure(upstream: UpstreamId, attemptedAt: Millis): void {
    const service = this.own.getService(upstream);
    if (service === undefined) return;
    this.own.recordFailure(upstream, attemptedAt);
    this.conclude(service);
    if (this.own.isDoubtful(service))
      runInBackground('reach.probe', () => this.probeUntilReached(service));
  }

  private async probeUntilReached(service: ServiceId): Promise<void> {
    const { clock } = this.options;
    if (this.probing.has(service)) return;
    this.probing.add(service);
    const { signal } = this.stopped;
    while (this.own.isDoubtful(service) && !signal.aborted) {
      this.own.getProbeTargets(service, PROBES_PER_ROUND).forEach((id) => {
        runInBackground('reach.probe', () => this.probe(id));
      });
      await sleep(clock, PROBE_INTERVAL_MS, signal);
      this.conclude(service);
    }
    this.probing.delete(service);
  }

  private async probe(upstream: UpstreamId): Promise<void> {
    const { clock, directory, probe } = this.options;
    const { cfg } = directory.getEngine(upstream) ?? directory.getServer(upstream) ?? {};
    if (cfg === undefined || probe === undefined) return;
    const attemptedAt = clock.now();
    if (await probe(cfg.url, PROBE_TIMEOUT_MS)) this.recordContact(upstream, attemptedAt);
    else this.recordFailure(upstream, attemptedAt);
  }

  /** Draws the conclusion from what is known of a service, and tells of a change. */
  private conclude(service: ServiceId): void {
    const before = this.conclusions.get(service);
    const unreached = this.own.getUnreached(service);
    if (unreached !== undefined) this.concludeLost(service, unreached, before);
    else if (before !== undefined) this.concludeBack(service, before);
  }

  private concludeLost(
    service: ServiceId,
    { failed, listed, since }: UnreachedUpstreams,
    before: Conclusion | undefined,
  ): void {
    const now = this.options.clock.now();
    const route = this.getRoute(service);
    if (before?.route === route) return;
    this.conclusions.set(service, { route, since: before?.since ?? since });
    log('upstreams_lost', {
      ...{ service, route, failed, listed, sinceMs: Math.round(now - since) },
      reachedByPeers: this.peers.isReached(service, since, now),
    });
    if (route !== 'direct') [...(this.connecting.get(service) ?? [])].forEach((giveUp) => giveUp());
    this.tell({ service, route });
  }

  private concludeBack(service: ServiceId, { since }: Conclusion): void {
    const now = this.options.clock.now();
    this.conclusions.delete(service);
    const isReached = this.peers.isReached(service, since, now);
    log('upstreams_back', { service, lostMs: Math.round(now - since), reachedByPeers: isReached });
    this.tell({ service, route: 'direct', ...(isReached ? { linksBackSince: since } : {}) });
  }

  private tell(change: ReachChange): void {
    this.updateGauge();
    this.listeners.forEach((changed) => changed(change));
  }

  private updateGauge(): void {
    const routes = this.own.getServices().map((service) => this.conclusions.get(service)?.route);
    ROUTES.forEach((route) => {
      const count = routes.filter((one = 'direct') => one === route).length;
      this.options.metrics.gauge('reach.services', count, { route });
    });
  }
}

/** Gets the groups of upstreams that can stand in for each other. */
function groupsOf(directory: UpstreamDirectory): readonly UpstreamGroup[] {
  const pools = directory.getModels().flatMap((model) => {
    const engines = directory.getPool(model)?.engines ?? [];
    return [...new Set(engines.map(({ role }) => role))].map((role) => ({
      ...{ service: model, role },
      upstreams: engines.filter((engine) => engine.role === role).map(({ id }) => id),
    }));
  });
  const services = directory.getServiceIds().map((service) => ({
    ...{ service, role: 'plain' },
    upstreams: directory.getService(service)?.servers.map(({ id }) => id) ?? [],
  }));
  return [...pools, ...services];
}
