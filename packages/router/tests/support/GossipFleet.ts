import type { Millis } from '@camphorvane/core';
import { VirtualClock } from '@camphorvane/core';
import {
  DistributedRateLimiter,
  DemandTracker,
  RoleChanges,
  InFlightTracker,
  PeerCounts,
} from '@camphorvane/decisions';
import type { RoleChange, InFlightLoad } from '@camphorvane/decisions';
import type { DemandHint, HintLink, HostDigest, HostHint } from '@camphorvane/peer/hints';
import { HostRoster } from '../../src/agreement/HostRoster.ts';
import type { HostRecord } from '../../src/agreement/hostRecord.ts';
import { PeerGossip } from '../../src/agreement/PeerGossip.ts';

const DELAY_MS: Millis = 1;
const TOLERANCE = { over: 0.1, slackTokens: 12_000, windowMs: 8_000 };

/** A host that talks, with all that it does with what it hears. */
export interface GossipHost {
  readonly name: string;
  readonly roster: HostRoster;
  readonly rates: DistributedRateLimiter;
  readonly book: InFlightTracker;
  /** Digests that it went by. */
  readonly digests: HostDigest[];
  use: ReadonlyMap<string, InFlightLoad>;
  readonly demand: DemandTracker;
  /** Requests that wait on it and can still be on time. */
  waiting: number;
  readonly peersWaiting: PeerCounts;
  /** Engines that it has ordered into another role. */
  moves: readonly RoleChange[];
  readonly heardMoves: RoleChanges;
  sent: number;
  bytes: number;
  /** Says that there is something that peers should learn soon. */
  noteNews: () => void;
  isDown: boolean;
}

/** Hosts that talk to each other over a network of datagrams, under a virtual clock. */
export class GossipFleet {
  readonly clock = new VirtualClock();

  readonly hosts: readonly GossipHost[];

  private readonly links = new Map<
    string,
    { hint?: (hint: HostHint) => void; digest?: (digest: HostDigest) => void }
  >();

  /** One for each host: a signal is one process's own. */
  private readonly stops: AbortController[] = [];

  /** Tells whether a datagram passes. */
  passes: (from: GossipHost, to: GossipHost) => boolean = () => true;

  /** @param count - Hosts; the first ones are the strongest. */
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
      rates.setSharers(roster.getOthers(), 0);
      const host: GossipHost = {
        ...{ name, roster, rates, book: new InFlightTracker(), digests: [], use: new Map() },
        ...{
          demand: new DemandTracker(),
          waiting: 0,
          peersWaiting: new PeerCounts(500),
          moves: [],
          heardMoves: new RoleChanges(),
        },
        ...{ sent: 0, bytes: 0, noteNews: () => undefined, isDown: false },
      };
      return host;
    });
    this.hosts.forEach((host) => this.start(host));
  }

  /** Ends all talk. */
  end(): void {
    this.stops.forEach((stop) => stop.abort());
  }

  private start(host: GossipHost): void {
    const { clock } = this;
    const talk = new PeerGossip({
      self: host.name,
      incarnation: 's',
      clock,
      link: this.linkOf(host),
      roster: host.roster,
      hint: () => ({
        leaving: false,
        engines: [...host.use].map(([engine, use]) => ({ engine, ...use })),
        charged: [...host.rates.getTotals()],
        demand: host.demand.getOwnTotals().map((one) => ({ ...one, onTimeWaiting: host.waiting })),
        moves: host.moves,
        down: [],
        calls: [],
        versions: { config: 1, servers: 1 },
        drained: { version: 0, zones: [] },
      }),
      onHint: (hint) => {
        host.roster.receive(hint, clock.now());
        host.rates.receive(hint.host, hint.incarnation, new Map(hint.charged), clock.now());
        host.book.receive(
          hint.host,
          new Map(hint.engines.map((one) => [one.engine, one])),
          clock.now(),
        );
        host.demand.receive(hint.host, hint.incarnation, hint.demand, clock.now());
        host.heardMoves.receive(hint.moves, clock.now());
        host.peersWaiting.receive(hint.host, waitingOf(hint.demand), clock.now());
      },
      onDigest: (digest) => {
        host.digests.push(digest);
        host.roster.receiveDigest(digest, clock.now());
        const { heard, incarnation } = digest;
        const totals = new Map(digest.charged);
        host.rates.receiveDigest({ relay: digest.host, incarnation, heard, totals }, clock.now());
        const uses = digest.engines.map(({ engine, ...use }): [string, InFlightLoad] => [
          engine,
          use,
        ]);
        host.book.receiveSum(new Map(uses), heard, clock.now());
        const relay = `${digest.host} ${incarnation}`;
        host.demand.receiveRelayed(relay, digest.demand, clock.now());
        host.heardMoves.receive(digest.moves, clock.now());
        host.peersWaiting.receiveSum(waitingOf(digest.demand), heard, clock.now());
      },
    });
    Object.assign(host, { noteNews: () => talk.noteNews() });
    const stop = new AbortController();
    this.stops.push(stop);
    talk.start(stop.signal);
  }

  private linkOf(from: GossipHost): HintLink {
    const handlers: { hint?: (hint: HostHint) => void; digest?: (digest: HostDigest) => void } = {};
    this.links.set(from.name, handlers);
    const deliver = (address: string, bytes: number, run: (to: GossipHost) => void): void => {
      const to = this.hosts.find((host) => `${host.name}:1` === address);
      if (from.isDown || to === undefined) return;
      Object.assign(from, { sent: from.sent + 1, bytes: from.bytes + bytes });
      if (!this.passes(from, to)) return;
      this.clock.after(DELAY_MS, () => {
        if (!to.isDown) run(to);
      });
    };
    return {
      send: (hint, to) =>
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

function waitingOf(demand: readonly DemandHint[]): ReadonlyMap<string, number> {
  return new Map(demand.map(({ model, onTimeWaiting }) => [model, onTimeWaiting]));
}
