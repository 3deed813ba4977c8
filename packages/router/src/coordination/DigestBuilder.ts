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
  PoolDemand,
  QueueQuote,
  ReachSummary,
  RetrySummary,
  UpstreamReport,
} from '@camphorvane/decisions';
import {
  gossipTtlMs,
  newestCallTimes,
  newestReports,
  NO_DEMAND,
  subtractDemand,
  sumDemand,
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
import { enginesWithout, sumEngines } from './engineSums.ts';
import { sumQuotes, quotesWithout } from './sumQuotes.ts';
import { sumReach } from './sumReach.ts';
import type { ReceivedHint } from './sumReach.ts';

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
  /** What hosts have used of the slack of retry budgets, by service. */
  readonly usedSlack: ReadonlyMap<ServiceId, number>;
}

/** Fields of a digest beside the sums. */
export type DigestHeader = Pick<
  HostDigest,
  'host' | 'incarnation' | 'sequence' | 'silent' | 'suspicion' | 'contact'
> & {
  /** What processes that have ended had used of retry budgets; absent where nobody counts it. */
  readonly ended?: Omit<RetrySummary, 'used'>;
};

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
      usedSlack: sumCounts(hints.flatMap((hint) => hint.retries?.used ?? [])),
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
  digestFor(receiver: HostId, sums: AggregatedHints, { ended, ...head }: DigestHeader): HostDigest {
    const own = this.hints.get(receiver)?.hint;
    const usedByOthers = countsWithout(sums.usedSlack, own?.retries?.used);
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
      ...(ended === undefined
        ? {}
        : { retries: { ...ended, used: [...usedByOthers].filter(([, used]) => used > 0) } }),
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
