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
import type { PoolDemand } from '@camphorvane/decisions';
import { gossipTtlMs, NO_DEMAND, subtractDemand, sumDemand } from '@camphorvane/decisions';
import type {
  DemandHint,
  DrainedZones,
  EngineHint,
  HostDigest,
  HostHint,
} from '@camphorvane/peer/hints';

/**
 * Engines that one digest names at most, those with the most on them: about 40 bytes each, and a
 * datagram holds 64 KB.
 */
const MAX_ENGINES = 1_200;

interface ReceivedHint {
  readonly hint: HostHint;
  readonly at: Millis;
}

/** What all hosts that were heard of lately have said, added up. */
export interface HintSums {
  readonly engines: ReadonlyMap<UpstreamId, EngineHint>;
  readonly calls: ReadonlyMap<ServiceId, number>;
  /** How many hosts found an engine down. */
  readonly down: ReadonlyMap<UpstreamId, number>;
  readonly demand: ReadonlyMap<ModelId, PoolDemand>;
  readonly waiting: ReadonlyMap<ModelId, number>;
  /** Hints of hosts that move engines between the roles. */
  readonly moving: readonly HostHint[];
  readonly leaving: readonly HostId[];
  readonly serving: readonly HostId[];
  readonly versions: HostDigest['versions'];
  readonly drained: DrainedZones;
}

/** What a digest says beside the sums. */
export type DigestHead = Pick<HostDigest, 'host' | 'incarnation' | 'sequence' | 'silent'>;

/**
 * Gathers the hints of many hosts, and sums them up for each one of them.
 *
 * A host is left out of the sums that are made for it: it knows better what it has itself.
 */
export class DigestBuilder {
  private readonly hints = new Map<HostId, ReceivedHint>();

  /** What all hosts have charged since they were first heard of here. */
  private readonly charged = new Map<TeamId, Tokens>();

  /** The part of it that each host has charged. */
  private readonly chargedBy = new Map<HostId, Map<TeamId, Tokens>>();

  /** What was asked of each host since it was first heard of here. */
  private readonly askedOf = new Map<HostId, ReadonlyMap<ModelId, PoolDemand>>();

  /** Takes in the hint of a host, this one included. */
  receive(hint: HostHint, now: Millis): void {
    const before = this.hints.get(hint.host)?.hint;
    this.hints.set(hint.host, { hint, at: now });
    // What a host charged before it was first heard of here is part of nobody's sum.
    if (before === undefined) return;
    this.addCharges(hint, before);
    this.addDemand(hint, before);
  }

  /** Forgets hosts whose next hints have not come. */
  forget(now: Millis): void {
    [...this.hints]
      .filter(([, { at, hint }]) => now - at > gossipTtlMs(hint.nextMs))
      .forEach(([host]) => this.hints.delete(host));
  }

  /** Gets the hosts that were heard of lately. */
  getHeard(): readonly HostId[] {
    return [...this.hints.keys()];
  }

  /** Gets the hosts that were heard of lately and want digests, and how often. */
  getAsking(): readonly Pick<HostHint, 'host' | 'digests'>[] {
    return [...this.hints.values()]
      .map(({ hint }) => hint)
      .filter((hint) => hint.digests !== 'none');
  }

  /** Sums up what all hosts have said, once for all digests that are made of it. */
  sumUp(): HintSums {
    const hints = [...this.hints.values()].map(({ hint }) => hint);
    const demands = [...this.askedOf.values()].flatMap((asked) => [...asked]);
    return {
      engines: sumEngines(hints),
      calls: sumCounts(hints.flatMap((hint) => hint.calls)),
      down: sumCounts(hints.flatMap((hint) => hint.down.map((engine) => [engine, 1] as const))),
      demand: demands.reduce(
        (sums, [model, more]) => sums.set(model, sumDemand(sums.get(model) ?? NO_DEMAND, more)),
        new Map<ModelId, PoolDemand>(),
      ),
      waiting: sumCounts(hints.flatMap(({ demand }) => demand.map(waitingOf))),
      moving: hints.filter((hint) => hint.moves.length > 0),
      leaving: hints.filter((hint) => hint.leaving).map((hint) => hint.host),
      serving: hints.filter((hint) => hint.serving).map((hint) => hint.host),
      versions: {
        config: Math.max(0, ...hints.map(({ versions }) => versions.config)),
        servers: Math.max(0, ...hints.map(({ versions }) => versions.servers)),
      },
      drained: hints
        .map(({ drained }) => drained)
        .reduce((a, b) => (b.version > a.version ? b : a), { version: 0, zones: [] }),
    };
  }

  /**
   * Gets what all hosts but one have said.
   *
   * @param receiver - The host that is told.
   * @param sums - What all have said.
   * @param head - Who tells it.
   * @returns The digest.
   */
  digestFor(receiver: HostId, sums: HintSums, head: DigestHead): HostDigest {
    const own = this.hints.get(receiver)?.hint;
    return {
      ...head,
      heard: this.hints.size - (own === undefined ? 0 : 1),
      engines: enginesWithout(sums.engines, own),
      charged: this.chargedWithout(receiver),
      demand: this.demandWithout(receiver, sums),
      moves: sums.moving.filter(({ host }) => host !== receiver).flatMap((hint) => hint.moves),
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
      drained: sums.drained,
    };
  }

  private addCharges(hint: HostHint, before: HostHint): void {
    const isSame = sameStart(hint, before);
    const known = new Map(isSame ? before.charged : []);
    const own = this.chargedBy.get(hint.host) ?? new Map<TeamId, Tokens>();
    hint.charged.forEach(([team, total]) => {
      const more = total - (known.get(team) ?? 0);
      own.set(team, (own.get(team) ?? 0) + more);
      this.charged.set(team, (this.charged.get(team) ?? 0) + more);
    });
    this.chargedBy.set(hint.host, own);
  }

  private addDemand(hint: HostHint, before: HostHint): void {
    const known = new Map(
      (sameStart(hint, before) ? before.demand : []).map((one) => [one.model, one]),
    );
    const own = new Map(this.askedOf.get(hint.host));
    hint.demand.forEach((total) => {
      const more = subtractDemand(total, known.get(total.model) ?? NO_DEMAND);
      own.set(total.model, sumDemand(own.get(total.model) ?? NO_DEMAND, more));
    });
    this.askedOf.set(hint.host, own);
  }

  private demandWithout(receiver: HostId, { demand, waiting }: HintSums): readonly DemandHint[] {
    const asked = this.askedOf.get(receiver);
    const others = countsWithout(waiting, this.hints.get(receiver)?.hint.demand.map(waitingOf));
    return [...demand].map(([model, sum]) => ({
      ...{ model, ...subtractDemand(sum, asked?.get(model) ?? NO_DEMAND) },
      onTimeWaiting: others.get(model) ?? 0,
    }));
  }

  private chargedWithout(receiver: HostId): readonly (readonly [TeamId, Tokens])[] {
    const own = this.chargedBy.get(receiver);
    return [...this.charged].map(([team, total]) => [team, total - (own?.get(team) ?? 0)] as const);
  }
}

function sameStart(
  a: { readonly incarnation: Incarnation },
  b: { readonly incarnation: Incarnation },
): boolean {
  return a.incarnation === b.incarnation;
}

function waitingOf({ model, onTimeWaiting }: DemandHint): readonly [ModelId, number] {
  return [model, onTimeWaiting];
}

type Counts = readonly (readonly [string, number])[];

function sumCounts(counts: Counts): ReadonlyMap<string, number> {
  return counts.reduce(
    (sums, [name, count]) => sums.set(name, (sums.get(name) ?? 0) + count),
    new Map<string, number>(),
  );
}

function countsWithout(
  sums: ReadonlyMap<string, number>,
  own: Counts = [],
): ReadonlyMap<string, number> {
  return own.reduce(
    (left, [name, count]) => left.set(name, (left.get(name) ?? 0) - count),
    new Map(sums),
  );
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
      });
    }, new Map<UpstreamId, EngineHint>());
}

/** Gets the use of the engines by all hosts but one; an engine that only it uses is left out. */
function enginesWithout(
  sums: ReadonlyMap<UpstreamId, EngineHint>,
  own: HostHint | undefined,
): readonly EngineHint[] {
  const ownUse = new Map(own?.engines.map((one) => [one.engine, one]));
  const others = [...sums.values()]
    .map((sum) => {
      const use = ownUse.get(sum.engine);
      if (use === undefined) return sum;
      return {
        engine: sum.engine,
        prefillTokens: Math.max(0, sum.prefillTokens - use.prefillTokens),
        streams: Math.max(0, sum.streams - use.streams),
        memoryTokens: Math.max(0, sum.memoryTokens - use.memoryTokens),
      };
    })
    .filter((use) => use.prefillTokens + use.streams + use.memoryTokens > 0);
  if (others.length <= MAX_ENGINES) return others;
  return others.sort((a, b) => b.memoryTokens - a.memoryTokens).slice(0, MAX_ENGINES);
}
