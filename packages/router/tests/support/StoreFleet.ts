import type { Clock, Millis, RoutingConfig } from '@camphorvane/core';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import { UpstreamSpeeds } from '@camphorvane/decisions';
import type { HintLink, HostDigest, HostHint } from '@camphorvane/peer/hints';
import { decodeDigest, decodeHint, encodeDigest, encodeHint } from '@camphorvane/peer/hints';
import { Metrics } from '@camphorvane/router';
import type { DeploymentFormat } from '@camphorvane/store';
import type { UpstreamProbe } from '@camphorvane/upstream';
import { err } from 'neverthrow';
import { StoreCoordination } from '../../src/coordination/StoreCoordination.ts';
import { UpstreamDirectory } from '../../src/host/UpstreamDirectory.ts';
import { ReachMonitor } from '../../src/reach/ReachMonitor.ts';
import { ConcurrencyShares } from '../../src/serving/ConcurrencyShares.ts';
import { FairQueues } from '../../src/serving/FairQueues.ts';
import { TurnRegistry } from '../../src/serving/TurnRegistry.ts';
import { WatchableMemoryStore } from './WatchableMemoryStore.ts';

/** Retries that all hosts together may send. */
export const RETRY_ALLOWANCE = { ratio: 0.2, slack: 50, windowMs: 10_000 } as const;

/** How far all hosts together may exceed the rate of a team. */
export const RATE_TOLERANCE = { over: 0.1, slackTokens: 2_000, windowMs: 8_000 } as const;

/** Milliseconds that a host takes to stop. */
const STOP_MS: Millis = 300;

const NETWORK_DELAY_MS: Millis = 2;

const FORMAT: DeploymentFormat = {
  ...{ configKind: 'config', configName: 'main', serverKind: 'servers' },
  ...{ drainedZoneKind: 'drained', hostKind: 'hosts', leaseKind: 'leases' },
  parseConfig: () => err('this store has none'),
  parseServer: () => err('none'),
};

/** Servers of the service `s`. */
const UPSTREAMS = ['u1', 'u2', 'u3'];

const CONFIG = {
  ...{ teams: [], pools: [], waitRules: [] },
  services: [
    {
      ...{ id: 's', timeoutMs: 1_000, routes: [] },
      servers: UPSTREAMS.map((id) => ({ id, url: `http://${id}`, zone: 'a', maxConcurrent: 4 })),
    },
  ],
} as RoutingConfig;

/** A host that coordinates through a store and gossip. */
export interface StoreHost {
  readonly name: string;
  coordination: StoreCoordination;
}

interface Listeners {
  hint?: (hint: HostHint) => void;
  digest?: (digest: HostDigest) => void;
}

/** Hosts that coordinate through one store and exchange datagrams, on a virtual clock. */
export class StoreFleet {
  readonly clock = new VirtualClock();

  readonly store = new WatchableMemoryStore();

  readonly hosts: readonly StoreHost[];

  /** Tells whether a datagram from one host to another is delivered. */
  passes: (from: string, to: string) => boolean = () => true;

  /** Changes a datagram on its way, as a host that does not know all of its fields reads it. */
  rewrite: (bytes: Buffer, from: string, to: string) => Buffer = (bytes) => bytes;

  /** Tells whether a host reaches the upstreams of the service `s`. */
  reaches: (host: string) => boolean = () => true;

  /** Hosts that report no reach, as those of an earlier version. */
  readonly reachless = new Set<string>();

  /** Largest datagram sent so far, in bytes. */
  largestDatagram = 0;

  private readonly listeners = new Map<string, Listeners>();

  private readonly stops = new Map<string, AbortController>();

  private readonly live: StoreHost[] = [];

  private incarnations = 0;

  /** @param count - Number of hosts; they start at once. */
  constructor(count: number) {
    this.hosts = Array.from({ length: count }, (_, i) => {
      const name = `h${String(i).padStart(3, '0')}`;
      return { name, coordination: this.startHost(name) };
    });
    this.live.push(...this.hosts);
  }

  /** Advances the clock until every host has read the records of all others. */
  async settle(): Promise<void> {
    await this.clock.advance(9_000);
  }

  /** Ends a host, which forgets everything, and starts it again. */
  restart(host: StoreHost): void {
    this.stops.get(host.name)?.abort();
    host.coordination.stop();
    Object.assign(host, { coordination: this.startHost(host.name) });
  }

  /** Gets the hosts that run. */
  getLiveHosts(): readonly StoreHost[] {
    return this.live;
  }

  /** Ends a host for good. */
  kill(host: StoreHost): void {
    this.stops.get(host.name)?.abort();
    host.coordination.stop();
    this.live.splice(this.live.indexOf(host), 1);
  }

  /** Starts another host. */
  add(name: string): StoreHost {
    const host = { name, coordination: this.startHost(name) };
    this.live.push(host);
    return host;
  }

  /** Has a host stop by itself, and starts it again. */
  stopAndRestart(host: StoreHost): void {
    void host.coordination.beginLeaving();
    this.clock.after(STOP_MS, () => {
      void host.coordination.leave();
      this.restart(host);
    });
  }

  /** Has a host connect to an upstream of the service `s`, as for a request. */
  connect({ name, coordination }: StoreHost): void {
    const attempt = coordination.context.reach.begin(UPSTREAMS[0] ?? '', () => undefined);
    this.clock.after(NETWORK_DELAY_MS, () =>
      attempt[this.reaches(name) ? 'connected' : 'failed'](),
    );
  }

  /** Stops all hosts. */
  end(): void {
    this.stops.forEach((stop) => stop.abort());
    this.live.forEach(({ coordination }) => coordination.stop());
  }

  private startHost(name: string): StoreCoordination {
    const { clock } = this;
    const stop = new AbortController();
    this.stops.set(name, stop);
    this.incarnations += 1;
    const coordination = createCoordination({
      ...{ name, incarnation: `i${this.incarnations}`, clock },
      ...{ store: this.store, hints: this.linkOf(name, stop.signal) },
      probe: this.reachless.has(name) ? undefined : async () => this.reaches(name),
    });
    coordination.start(stop.signal);
    return coordination;
  }

  private linkOf(name: string, signal: AbortSignal): HintLink {
    const own: Listeners = {};
    this.listeners.set(name, own);
    const deliver = (bytes: Buffer, address: string, receive: (read: Buffer) => void): void => {
      const [to = ''] = address.split(':');
      this.largestDatagram = Math.max(this.largestDatagram, bytes.length);
      if (signal.aborted || !this.passes(name, to)) return;
      this.clock.after(NETWORK_DELAY_MS, () => receive(this.rewrite(bytes, name, to)));
    };
    return {
      sendHint: (hint, to) => {
        const bytes = encodeHint(hint);
        to.forEach((address) =>
          deliver(bytes, address, (read) => {
            const received = decodeHint(read);
            if (received !== undefined) this.listenersOf(address).hint?.(received);
          }),
        );
      },
      sendDigest: (digest, address) =>
        deliver(encodeDigest(digest), address, (read) => {
          const received = decodeDigest(read);
          if (received !== undefined) this.listenersOf(address).digest?.(received);
        }),
      onHint: (listener) => {
        own.hint = listener;
      },
      onDigest: (listener) => {
        own.digest = listener;
      },
    };
  }

  private listenersOf(address: string): Listeners {
    return this.listeners.get(address.split(':')[0] ?? '') ?? {};
  }
}

interface HostParts {
  readonly name: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly store: WatchableMemoryStore;
  readonly hints: HintLink;
  readonly probe: UpstreamProbe | undefined;
}

function createCoordination(parts: HostParts): StoreCoordination {
  const { name, incarnation, clock, store, hints, probe } = parts;
  const metrics = new Metrics();
  const random = new RandomSource(Number(name.slice(1)));
  const directory = new UpstreamDirectory(noClients, ({ id }) => ({ id, call: noClients }));
  directory.reconfigure(CONFIG);
  const reach = new ReachMonitor({ clock, directory, metrics, probe });
  reach.refresh();
  const zone = ['a', 'b', 'c'][Number(name.slice(1)) % 3] ?? 'a';
  return new StoreCoordination(
    {
      ...{ store: store.asStore(), format: FORMAT, hints, strength: 1, metrics },
      tolerance: RATE_TOLERANCE,
      retryAllowance: RETRY_ALLOWANCE,
      ...{
        strictKeysMs: undefined,
        watchMs: 1_800,
        heartbeatMs: 1_200,
        drainsZones: false,
        leaseMs: 3_000,
      },
    },
    {
      identity: { host: name, zone, callerAddress: `${name}:1`, peerAddress: `${name}:2` },
      ...{ incarnation, clock, random, directory, metrics },
      concurrencyShares: new ConcurrencyShares(),
      fairQueues: new FairQueues(clock, directory, metrics),
      speeds: new UpstreamSpeeds(() => false, random),
      turns: new TurnRegistry({ clock, directory, metrics }),
      reach,
    },
  );
}

function noClients(): never {
  throw new Error('this fleet has no upstreams');
}
