import type { Millis } from '@camphorvane/core';
import { VirtualClock } from '@camphorvane/core';
import {
  DistributedRateLimiter,
  DemandTracker,
  RoleChanges,
  InFlightTracker,
  PeerCounts,
  TeamUsage,
  UpstreamConstraints,
} from '@camphorvane/decisions';
import type { RoleChange, InFlightLoad } from '@camphorvane/decisions';
import type { DemandHint, HintLink, HostDigest, HostHint } from '@camphorvane/peer/hints';
import { HostRoster } from '../../src/coordination/HostRoster.ts';
import type { HostRecord } from '../../src/coordination/hostRecord.ts';
import { PeerGossip } from '../../src/coordination/PeerGossip.ts';

const NETWORK_DELAY_MS: Millis = 1;
const TOLERANCE = { over: 0.1, slackTokens: 12_000, windowMs: 8_000 };

/** Host that gossips, with the state that it builds from received hints and digests. */
export interface GossipHost {
  readonly name: string;
  readonly roster: HostRoster;
  readonly rates: DistributedRateLimiter;
  readonly inFlight: InFlightTracker;
  /** Digests of the relay that it follows. */
  readonly digests: HostDigest[];
  /** Load that it reports by engine. */
  load: ReadonlyMap<string, InFlightLoad>;
  readonly demand: DemandTracker;
  /** Queued requests that can still be on time. */
  waiting: number;
  readonly peerBacklog: PeerCounts;
  /** Role changes that it has ordered. */
  moves: readonly RoleChange[];
  readonly roleChanges: RoleChanges;
  readonly constraints: UpstreamConstraints;
  /** Store versions that it reports. */
  versions: HostHint['versions'];
  /** Whether it reports that it watches the store. */
  isWatching: boolean;
  /** Called with the versions that a hint or digest reports. */
  onVersions: (versions: HostHint['versions']) => void;
  readonly usage: TeamUsage;
  /** Whether it reports its usage, as with fair shares. */
  reportsUsage: boolean;
  sent: number;
  bytes: number;
  /** Has the next hint sent early. */
  recordStateChange: () => void;
  isDown: boolean;
}

/** Hosts that gossip over a simulated datagram network on a virtual clock. */
export class GossipFleet {
  readonly clock = new VirtualClock();

  readonly hosts: readonly GossipHost[];

  private readonly links = new Map<
    string,
    { hint?: (hint: HostHint) => void; digest?: (digest: HostDigest) => void }
  >();

  /** One for each host, as in separate processes. */
  private readonly stops: AbortController[] = [];

  /** Tells whether a datagram is delivered. */
  passes: (from: GossipHost, to: GossipHost) => boolean = () => true;

  /** @param count - Number of hosts; the first ones are the strongest. */
  constructor(count: number) {
    const names = Array.from({ length: count }, (_, i) => `h${String(i).padStart(3, '0')}`);
    const records = names.map((host, i) => ({
      record: recordOf(host, zoneOf(i), count - i),
      version: 1,
    }));
    this.hosts = names.map((name, i) => {
      const roster = new HostRoster(name, zoneOf(i));
      roster.update(records, 0);
      const rates = new DistributedRateLimiter(TOLERANCE);
      rates.setPeerHosts(roster.getPeers(), 0);
      const host: GossipHost = {
        ...{ name, roster, rates, inFlight: new InFlightTracker(), digests: [], load: new Map() },
        ...{
          demand: new DemandTracker(),
          waiting: 0,
          peerBacklog: new PeerCounts(500),
          moves: [],
          roleChanges: new RoleChanges(),
          constraints: new UpstreamConstraints({
            self: name,
            getSharers: () => roster.getExpectedServing(),
            toTimeOfDay: (now) => now,
          }),
        },
        ...{ versions: { config: 1, servers: 1 }, isWatching: true, onVersions: () => undefined },
        ...{ usage: new TeamUsage(), reportsUsage: false },
        ...{ sent: 0, bytes: 0, recordStateChange: () => undefined, isDown: false },
      };
      return host;
    });
    this.hosts.forEach((host) => this.start(host));
  }

  /** Stops all hosts. */
  end(): void {
    this.stops.forEach((stop) => stop.abort());
  }

  private start(host: GossipHost): void {
    const { clock } = this;
    const gossip = new PeerGossip({
      self: host.name,
      incarnation: 's',
      clock,
      link: this.linkOf(host),
      roster: host.roster,
      hint: () => ({
        leaving: false,
        engines: [...host.load].map(([engine, use]) => ({ engine, ...use })),
        charged: [...host.rates.getTotals()],
        demand: host.demand.getOwnTotals().map((one) => ({ ...one, onTimeWaiting: host.waiting })),
        moves: host.moves,
        down: [],
        calls: [],
        versions: host.versions,
        ...(host.isWatching ? { watching: true } : {}),
        drained: { version: 0, zones: [] },
        upstreams: host.constraints.getReports(clock.now()),
        quotes: [],
        usage: host.reportsUsage ? host.usage.getRows(clock.now()) : undefined,
      }),
      getContact: () => undefined,
      getRelayedSuspicion: () => ({ crashes: [], answers: [], survivals: [] }),
      onRelayedHint: () => undefined,
      getEndedProcesses: () => ({ endedUse: [], lost: 0, lostEarly: 0 }),
      onHint: (hint) => {
        host.roster.receive(hint, clock.now());
        host.onVersions(hint.versions);
        host.rates.receive(hint.host, hint.incarnation, new Map(hint.charged), clock.now());
        host.inFlight.receive(
          hint.host,
          new Map(hint.engines.map((one) => [one.engine, one])),
          clock.now(),
        );
        host.demand.receive(hint.host, hint.incarnation, hint.demand, clock.now());
        host.roleChanges.receive(hint.moves, clock.now());
        host.peerBacklog.receive(hint.host, backlogOf(hint.demand), clock.now());
        host.constraints.receive(hint.upstreams, clock.now());
        if (hint.usage !== undefined) host.usage.receive(hint.host, hint.usage, clock.now());
      },
      onDigest: (digest) => {
        host.digests.push(digest);
        host.roster.receiveDigest(digest, clock.now());
        host.onVersions(digest.versions);
        const { hostCount, incarnation } = digest;
        const totals = new Map(digest.charged);
        host.rates.receiveDigest(
          { relay: digest.host, incarnation, peerCount: hostCount, totals },
          clock.now(),
        );
        const loads = digest.engines.map(({ engine, ...use }): [string, InFlightLoad] => [
          engine,
          use,
        ]);
        host.inFlight.receiveSum(new Map(loads), hostCount, clock.now());
        const relay = `${digest.host} ${incarnation}`;
        host.demand.receiveRelayed(relay, digest.demand, clock.now());
        host.roleChanges.receive(digest.moves, clock.now());
        host.peerBacklog.receiveSum(backlogOf(digest.demand), hostCount, clock.now());
        host.constraints.receive(digest.upstreams, clock.now());
        if (digest.usage !== undefined) host.usage.receiveSum(digest.usage, clock.now());
      },
    });
    Object.assign(host, { recordStateChange: () => gossip.recordStateChange() });
    const stop = new AbortController();
    this.stops.push(stop);
    gossip.start(stop.signal);
  }

  private linkOf(from: GossipHost): HintLink {
    const handlers: { hint?: (hint: HostHint) => void; digest?: (digest: HostDigest) => void } = {};
    this.links.set(from.name, handlers);
    const deliver = (address: string, bytes: number, receive: (to: GossipHost) => void): void => {
      const to = this.hosts.find((host) => `${host.name}:1` === address);
      if (from.isDown || to === undefined) return;
      Object.assign(from, { sent: from.sent + 1, bytes: from.bytes + bytes });
      if (!this.passes(from, to)) return;
      this.clock.after(NETWORK_DELAY_MS, () => {
        if (!to.isDown) receive(to);
      });
    };
    return {
      sendHint: (hint, to) =>
        to.forEach((address) =>
          deliver(address, JSON.stringify(hint).length, (host) =>
            this.links.get(host.name)?.hint?.(hint),
          ),
        ),
      sendDigest: (digest, address) =>
        deliver(address, JSON.stringify(digest).length, (host) =>
          this.links.get(host.name)?.digest?.(digest),
        ),
      onHint: (listener) => {
        handlers.hint = listener;
      },
      onDigest: (listener) => {
        handlers.digest = listener;
      },
    };
  }
}

function zoneOf(index: number): string {
  return ['a', 'b', 'c'][index % 3] ?? 'a';
}

function recordOf(host: string, zone: string, strength: number): HostRecord {
  return {
    host,
    incarnation: 's',
    zone,
    callerAddress: `${host}:80`,
    peerAddress: `${host}:1`,
    leaving: false,
    strength,
  };
}

function backlogOf(demand: readonly DemandHint[]): ReadonlyMap<string, number> {
  return new Map(demand.map(({ model, onTimeWaiting }) => [model, onTimeWaiting]));
}
