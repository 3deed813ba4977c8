import type {
  HostId,
  Incarnation,
  Millis,
  ModelId,
  ServiceId,
  TeamId,
  Tokens,
  UpstreamId,
} from '@camphorvane/core';
import type {
  CallTime,
  HeldMemory,
  PoolDemand,
  QueueQuote,
  ReachSummary,
  UpstreamReport,
} from '@camphorvane/decisions';
import {
  gossipTtlMs,
  newestCallTimes,
  newestReports,
  NO_DEMAND,
  subtractDemand,
  sumDemand,
  sumHeld,
} from '@camphorvane/decisions';
import type {
  DemandHint,
  DrainedZones,
  EngineHint,
  HostDigest,
  HostHint,
} from '@camphorvane/peer/hints';
import type { UsageSums } from './UsageReports.ts';
import { UsageReports, usageWithout } from './UsageReports.ts';
import { countsWithout, sumCounts } from './countSums.ts';
import { sumQuotes, quotesWithout } from './sumQuotes.ts';
import { sumReach } from './sumReach.ts';
import type { ReceivedHint } from './sumReach.ts';

/**
 * Limit of the engines in one digest, which keeps those with the most memory in use: an engine takes
 * about 40 bytes, and a datagram holds 64 KB.
 */
const MAX_ENGINES = 1_200;

/**
 * Limit of the engines in one digest with what their streams hold, 12 bytes each: 7 KB per second for a
 * host in a fleet of 350. Only engines that are nearly full need it.
 */
const MAX_HELD_ENGINES = 128;

/** Sums over the recent hints of all hosts. */
export interface AggregatedHints {
  readonly engines: ReadonlyMap<UpstreamId, EngineHint>;
  readonly calls: ReadonlyMap<ServiceId, number>;
  /** How many hosts report an engine as down. */
  readonly down: ReadonlyMap<UpstreamId, number>;
  readonly demand: ReadonlyMap<ModelId, PoolDemand>;
  readonly waiting: ReadonlyMap<ModelId, number>;
  /** Hints of hosts that change the role of engines. */
  readonly roleChangeHints: readonly HostHint[];
  readonly leaving: readonly HostId[];
  readonly serving: readonly HostId[];
  readonly versions: HostDigest['versions'];
  readonly unwatched: HostDigest['unwatched'];
  readonly drained: DrainedZones;
  readonly upstreams: readonly UpstreamReport[];
  readonly quotes: readonly QueueQuote[];
  readonly usage: UsageSums | undefined;
  readonly callTimes: readonly CallTime[];
  readonly reach: ReachSummary | undefined;
}

/** Fields of a digest beside the sums. */
export type DigestHeader = Pick<
  HostDigest,
  'host' | 'incarnation' | 'sequence' | 'silent' | 'suspicion' | 'contact'
>;

/**
 * Collects the hints of many hosts and builds a digest of them for each receiver.
 *
 * A digest leaves out the receiver's own hint, since the receiver has newer values itself.
 */
export class DigestBuilder {
  private readonly hints = new Map<HostId, ReceivedHint>();

  /** Tokens that all hosts have charged since their first hint here. */
  private readonly chargedTotals = new Map<TeamId, Tokens>();

  /** Tokens that each host has charged since its first hint here. */
  private readonly chargedByHost = new Map<HostId, Map<TeamId, Tokens>>();

  /** Demand at each host since its first hint here. */
  private readonly demandByHost = new Map<HostId, ReadonlyMap<ModelId, PoolDemand>>();

  private readonly usage = new UsageReports();

  /** Receives the hint of a host, this one included. */
  receive(hint: HostHint, now: Millis): void {
    this.usage.receive(hint.host, hint.usage, now);
    const before = this.hints.get(hint.host)?.hint;
    this.hints.set(hint.host, { hint, receivedAt: now });
    // What a host charged before its first hint here is part of no sum.
    if (before === undefined) return;
    this.addCharges(hint, before);
    this.addDemand(hint, before);
  }

  /** Removes hosts whose next hint has not arrived within its TTL. */
  removeExpired(now: Millis): void {
    [...this.hints]
      .filter(([, { receivedAt, hint }]) => now - receivedAt > gossipTtlMs(hint.nextMs))
      .forEach(([host]) => this.hints.delete(host));
  }

  /** Gets the hosts with a recent hint. */
  getLiveHosts(): readonly HostId[] {
    return [...this.hints.keys()];
  }

  /** Gets the hosts with a recent hint that subscribe to digests, and how often they want them. */
  getSubscribers(): readonly Pick<HostHint, 'host' | 'digests'>[] {
    return [...this.hints.values()]
      .map(({ hint }) => hint)
      .filter((hint) => hint.digests !== 'none');
  }

  /** Sums up the hints of all hosts, once for all digests of a round. */
  aggregate(now: Millis): AggregatedHints {
    const hints = [...this.hints.values()].map(({ hint }) => hint);
    const demands = [...this.demandByHost.values()].flatMap((demand) => [...demand]);
    return {
      engines: sumEngines(hints),
      calls: sumCounts(hints.flatMap((hint) => hint.calls)),
      down: sumCounts(hints.flatMap((hint) => hint.down.map((engine) => [engine, 1] as const))),
      demand: demands.reduce(
        (sums, [model, delta]) => sums.set(model, sumDemand(sums.get(model) ?? NO_DEMAND, delta)),
        new Map<ModelId, PoolDemand>(),
      ),
      waiting: sumCounts(hints.flatMap(({ demand }) => demand.map(toWaitingCount))),
      roleChangeHints: hints.filter((hint) => hint.moves.length > 0),
      leaving: hints.filter((hint) => hint.leaving).map((hint) => hint.host),
      serving: hints.filter((hint) => hint.serving).map((hint) => hint.host),
      versions: {
        config: Math.max(0, ...hints.map(({ versions }) => versions.config)),
        servers: Math.max(0, ...hints.map(({ versions }) => versions.servers)),
      },
      unwatched: hints.some(({ watching }) => watching === true) ? undefined : true,
      drained: hints
        .map(({ drained }) => drained)
        .reduce((a, b) => (b.version > a.version ? b : a), { version: 0, zones: [] }),
      upstreams: newestReports([...this.hints.values()].flatMap((one) => agedReports(one, now))),
      quotes: sumQuotes(hints.flatMap((hint) => hint.quotes)),
      usage: this.usage.aggregate(now),
      callTimes: newestCallTimes(
        [...this.hints.values()].flatMap((one) => agedCallTimes(one, now)),
      ),
      reach: sumReach([...this.hints.values()], now),
    };
  }

  /**
   * Builds the digest of all hosts but the receiver.
   *
   * @param receiver - The host that the digest is for.
   * @param sums - The sums over all hosts.
   * @param head - The other fields of the digest.
   * @returns The digest.
   */
  digestFor(receiver: HostId, sums: AggregatedHints, head: DigestHeader): HostDigest {
    const own = this.hints.get(receiver)?.hint;
    return {
      ...head,
      hostCount: this.hints.size - (own === undefined ? 0 : 1),
      engines: enginesWithout(sums.engines, own),
      charged: this.chargedWithout(receiver),
      demand: this.demandWithout(receiver, sums),
      moves: sums.roleChangeHints
        .filter(({ host }) => host !== receiver)
        .flatMap((hint) => hint.moves),
      down: [
        ...countsWithout(
          sums.down,
          own?.down.map((engine) => [engine, 1] as const),
        ),
      ]
        .filter(([, hosts]) => hosts > 0)
        .map(([engine]) => engine),
      calls: [...countsWithout(sums.calls, own?.calls)],
      leaving: sums.leaving.filter((host) => host !== receiver),
      serving: sums.serving,
      versions: sums.versions,
      ...(sums.unwatched === undefined ? {} : { unwatched: sums.unwatched }),
      drained: sums.drained,
      upstreams: sums.upstreams,
      quotes: quotesWithout(sums.quotes, own?.quotes),
      usage: usageWithout(sums.usage, receiver),
      callTimes: sums.callTimes,
      ...(sums.reach === undefined ? {} : { reach: sums.reach }),
    };
  }

  private addCharges(hint: HostHint, before: HostHint): void {
    const isSame = isSameIncarnation(hint, before);
    const known = new Map(isSame ? before.charged : []);
    const own = this.chargedByHost.get(hint.host) ?? new Map<TeamId, Tokens>();
    hint.charged.forEach(([team, total]) => {
      const delta = total - (known.get(team) ?? 0);
      own.set(team, (own.get(team) ?? 0) + delta);
      this.chargedTotals.set(team, (this.chargedTotals.get(team) ?? 0) + delta);
    });
    this.chargedByHost.set(hint.host, own);
  }

  private addDemand(hint: HostHint, before: HostHint): void {
    const known = new Map(
      (isSameIncarnation(hint, before) ? before.demand : []).map((one) => [one.model, one]),
    );
    const own = new Map(this.demandByHost.get(hint.host));
    hint.demand.forEach((total) => {
      const delta = subtractDemand(total, known.get(total.model) ?? NO_DEMAND);
      own.set(total.model, sumDemand(own.get(total.model) ?? NO_DEMAND, delta));
    });
    this.demandByHost.set(hint.host, own);
  }

  private demandWithout(
    receiver: HostId,
    { demand, waiting }: AggregatedHints,
  ): readonly DemandHint[] {
    const own = this.demandByHost.get(receiver);
    const others = countsWithout(
      waiting,
      this.hints.get(receiver)?.hint.demand.map(toWaitingCount),
    );
    return [...demand].map(([model, sum]) => ({
      ...{ model, ...subtractDemand(sum, own?.get(model) ?? NO_DEMAND) },
      onTimeWaiting: others.get(model) ?? 0,
    }));
  }

  private chargedWithout(receiver: HostId): readonly (readonly [TeamId, Tokens])[] {
    const own = this.chargedByHost.get(receiver);
    return [...this.chargedTotals].map(
      ([team, total]) => [team, total - (own?.get(team) ?? 0)] as const,
    );
  }
}

function isSameIncarnation(
  a: { readonly incarnation: Incarnation },
  b: { readonly incarnation: Incarnation },
): boolean {
  return a.incarnation === b.incarnation;
}

function toWaitingCount({ model, onTimeWaiting }: DemandHint): readonly [ModelId, number] {
  return [model, onTimeWaiting];
}

/** Gets the reports of a hint with their ages now. */
function agedReports({ hint, receivedAt }: ReceivedHint, now: Millis): readonly UpstreamReport[] {
  return hint.upstreams.map((report) => ({ ...report, ageMs: report.ageMs + now - receivedAt }));
}

function agedCallTimes({ hint, receivedAt }: ReceivedHint, now: Millis): readonly CallTime[] {
  const times = hint.callTimes ?? [];
  return times.map((time) => ({ ...time, ageMs: time.ageMs + now - receivedAt }));
}

function sumEngines(hints: readonly HostHint[]): ReadonlyMap<UpstreamId, EngineHint> {
  return hints
    .flatMap((hint) => hint.engines)
    .reduce((sums, one) => {
      const sum = sums.get(one.engine);
      return sums.set(one.engine, {
        engine: one.engine,
        prefillTokens: one.prefillTokens + (sum?.prefillTokens ?? 0),
        streams: one.streams + (sum?.streams ?? 0),
        memoryTokens: one.memoryTokens + (sum?.memoryTokens ?? 0),
        ...addHeld(sum, one),
      });
    }, new Map<UpstreamId, EngineHint>());
}

type Held = Pick<EngineHint, 'held'>;

/** Adds up what streams hold; the mean memory stands in for hosts that don't report it. */
function addHeld(sum: EngineHint | undefined, one: EngineHint): Held {
  if (sum?.held === undefined && one.held === undefined) return {};
  return { held: sumHeld(heldOrMean(sum), heldOrMean(one)) };
}

function subtractHeld({ held }: EngineHint, load: EngineHint): Held {
  if (held === undefined) return {};
  const own = heldOrMean(load);
  const tokens = Math.max(0, held.tokens - own.tokens);
  return { held: { tokens, growthPerMs: Math.max(0, held.growthPerMs - own.growthPerMs) } };
}

function heldOrMean(load: EngineHint | undefined): HeldMemory {
  return load?.held ?? { tokens: load?.memoryTokens ?? 0, growthPerMs: 0 };
}

/** Gets the load of all hosts but one on the engines; an engine that only it uses is left out. */
function enginesWithout(
  sums: ReadonlyMap<UpstreamId, EngineHint>,
  own: HostHint | undefined,
): readonly EngineHint[] {
  const ownLoads = new Map(own?.engines.map((one) => [one.engine, one]));
  const others = [...sums.values()]
    .map((sum) => {
      const load = ownLoads.get(sum.engine);
      if (load === undefined) return sum;
      return {
        engine: sum.engine,
        prefillTokens: Math.max(0, sum.prefillTokens - load.prefillTokens),
        streams: Math.max(0, sum.streams - load.streams),
        memoryTokens: Math.max(0, sum.memoryTokens - load.memoryTokens),
        ...subtractHeld(sum, load),
      };
    })
    .filter((load) => load.prefillTokens + load.streams + load.memoryTokens > 0);
  const kept =
    others.length <= MAX_ENGINES
      ? others
      : others.sort((a, b) => b.memoryTokens - a.memoryTokens).slice(0, MAX_ENGINES);
  return boundHeld(kept);
}

/** Keeps what streams hold for the engines that hold the most; the mean memory does for the others. */
function boundHeld(engines: readonly EngineHint[]): readonly EngineHint[] {
  const withHeld = engines.filter(({ held }) => held !== undefined);
  if (withHeld.length <= MAX_HELD_ENGINES) return engines;
  const fullest = new Set(
    withHeld
      .sort((a, b) => heldOrMean(b).tokens - heldOrMean(a).tokens)
      .slice(0, MAX_HELD_ENGINES)
      .map(({ engine }) => engine),
  );
  return engines.map(({ held, ...load }) =>
    fullest.has(load.engine) && held !== undefined ? { ...load, held } : load,
  );
}
