import type {
  HostId,
  Incarnation,
  Millis,
  ModelId,
  ServiceId,
  TeamId,
  Tokens,
} from '@camphorvane/core';
import type { PoolDemand } from '@camphorvane/decisions';
import { NO_DEMAND, subtractDemand, sumDemand } from '@camphorvane/decisions';
import type { DemandHint, EngineHint, HostDigest, HostHint } from '@camphorvane/peer/hints';

/**
 * Engines that one digest names at most, those with the most on them: about 40 bytes each, and a
 * datagram holds 64 KB.
 */
const MAX_ENGINES = 1_200;

interface HeardWord {
  readonly hint: HostHint;
  readonly at: Millis;
}

/** What a digest says beside the sums. */
export type DigestHead = Pick<HostDigest, 'host' | 'incarnation' | 'sequence' | 'silent'>;

/**
 * Gathers the words of many hosts, and sums them up for each one of them.
 *
 * A host is left out of the sums that are made for it: it knows better what it has itself.
 */
export class RelayBoard {
  private readonly words = new Map<HostId, HeardWord>();

  /** What all hosts have charged since they were first heard of here. */
  private readonly charged = new Map<TeamId, Tokens>();

  /** The part of it that each host has charged. */
  private readonly chargedBy = new Map<HostId, Map<TeamId, Tokens>>();

  /** What was asked of each host since it was first heard of here. */
  private readonly askedOf = new Map<HostId, ReadonlyMap<ModelId, PoolDemand>>();

  /** Takes in the word of a host, this one included. */
  hear(hint: HostHint, now: Millis): void {
    const before = this.words.get(hint.host)?.hint;
    this.words.set(hint.host, { hint, at: now });
    // What a host charged before it was first heard of here is part of nobody's sum.
    if (before === undefined) return;
    this.addCharges(hint, before);
    this.addDemand(hint, before);
  }

  /** Forgets hosts that have been silent for a while. */
  forget(silentMs: Millis, now: Millis): void {
    [...this.words]
      .filter(([, { at }]) => now - at > silentMs)
      .forEach(([host]) => this.words.delete(host));
  }

  /** Gets the hosts that were heard of lately. */
  getHeard(): readonly HostId[] {
    return [...this.words.keys()];
  }

  /** Gets the hosts that were heard of lately and want digests. */
  getAsking(): readonly HostId[] {
    return [...this.words.values()].filter(({ hint }) => hint.asks).map(({ hint }) => hint.host);
  }

  /**
   * Sums up what all hosts but one have said.
   *
   * @param receiver - The host that is told.
   * @param head - Who tells it.
   * @returns The digest.
   */
  digestFor(receiver: HostId, head: DigestHead): HostDigest {
    const others = [...this.words.values()]
      .map(({ hint }) => hint)
      .filter((hint) => hint.host !== receiver);
    const all = [...this.words.values()].map(({ hint }) => hint.versions);
    return {
      ...head,
      heard: others.length,
      engines: sumEngines(others),
      charged: this.chargedWithout(receiver),
      demand: this.demandWithout(receiver),
      moves: others.flatMap((hint) => hint.moves),
      down: [...new Set(others.flatMap((hint) => hint.down))],
      calls: sumCalls(others),
      leaving: others.filter((hint) => hint.leaving).map((hint) => hint.host),
      versions: {
        config: Math.max(0, ...all.map((versions) => versions.config)),
        servers: Math.max(0, ...all.map((versions) => versions.servers)),
      },
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

  private demandWithout(receiver: HostId): readonly DemandHint[] {
    const sums = new Map<ModelId, PoolDemand>();
    [...this.askedOf]
      .filter(([host]) => host !== receiver)
      .flatMap(([, asked]) => [...asked])
      .forEach(([model, more]) => sums.set(model, sumDemand(sums.get(model) ?? NO_DEMAND, more)));
    const others = [...this.words.values()].filter(({ hint }) => hint.host !== receiver);
    const waiting = others.flatMap(({ hint }) => hint.demand);
    return [...sums].map(([model, sum]) => ({
      ...{ model, ...sum },
      onTimeWaiting: waiting
        .filter((one) => one.model === model)
        .reduce((all, one) => all + one.onTimeWaiting, 0),
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

function sumCalls(hints: readonly HostHint[]): readonly (readonly [ServiceId, number])[] {
  const sums = new Map<ServiceId, number>();
  hints
    .flatMap((hint) => hint.calls)
    .forEach(([service, calls]) => sums.set(service, (sums.get(service) ?? 0) + calls));
  return [...sums];
}

function sumEngines(hints: readonly HostHint[]): readonly EngineHint[] {
  const sums = new Map<string, EngineHint>();
  hints
    .flatMap((hint) => hint.engines)
    .forEach((one) => {
      const sum = sums.get(one.engine);
      sums.set(one.engine, {
        engine: one.engine,
        prefillTokens: one.prefillTokens + (sum?.prefillTokens ?? 0),
        streams: one.streams + (sum?.streams ?? 0),
        memoryTokens: one.memoryTokens + (sum?.memoryTokens ?? 0),
      });
    });
  if (sums.size <= MAX_ENGINES) return [...sums.values()];
  return [...sums.values()].sort((a, b) => b.memoryTokens - a.memoryTokens).slice(0, MAX_ENGINES);
}
