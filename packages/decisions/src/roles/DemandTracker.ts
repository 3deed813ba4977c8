import type { Incarnation, Millis, ModelId } from '@camphorvane/core';
import { meanMemoryTokens, memorySteps } from '../local/meanMemoryTokens.ts';
import type { WorkItem } from '../PoolScheduler.ts';
import type { PoolDemand } from './DemandHistory.ts';
import { DemandHistory, NO_DEMAND, sumDemand } from './DemandHistory.ts';

/** Source name of this host's own totals. */
const OWN_SOURCE = '';

/** Source name of the totals that a relay adds up over the hosts in its digest. */
const RELAYED_SOURCE = '*';

/** Weight of the newest request in the moving mean of allowed waits; about the last twenty count. */
const ON_TIME_WEIGHT = 0.05;

/** Tracks the demand on every pool, as seen by this host and reported by its peers. */
export class DemandTracker {
  private readonly own = new Map<ModelId, PoolDemand>();

  private readonly histories = new Map<ModelId, DemandHistory>();

  private readonly onTimeMs = new Map<ModelId, Millis>();

  /** Sources that have reported before; a pool that one of them reports for the first time starts at zero. */
  private readonly knownSources = new Set<string>();

  private currentRelay = '';

  /** Records a request that arrived at this host. */
  recordRequest(model: ModelId, item: WorkItem, now: Millis): void {
    const total = sumDemand(this.own.get(model) ?? NO_DEMAND, {
      requests: 1,
      promptTokens: item.promptTokens,
      memoryTokens: meanMemoryTokens(item),
      memorySteps: memorySteps(item),
    });
    this.own.set(model, total);
    this.historyOf(model).receive(OWN_SOURCE, OWN_SOURCE, total, now);
    const onTimeMs = item.onTimeMs ?? item.maxWaitMs;
    // A request that is late on arrival doesn't show how long others may wait.
    if (onTimeMs <= 0) return;
    const mean = this.onTimeMs.get(model) ?? onTimeMs;
    this.onTimeMs.set(model, mean + (onTimeMs - mean) * ON_TIME_WEIGHT);
  }

  /**
   * Applies the cumulative demand of a peer, or of several peers together.
   *
   * @param source - Name of the source.
   * @param incarnation - Incarnation of the source; totals restart at zero with a new one.
   * @param totals - Demand since the start of the incarnation, by pool.
   * @param now - Present time.
   */
  receive(
    source: string,
    incarnation: Incarnation,
    totals: readonly (PoolDemand & { readonly model: ModelId })[],
    now: Millis,
  ): void {
    totals.forEach(({ model, ...total }) => {
      const history = this.historyOf(model);
      if (this.knownSources.has(source)) history.startAtZero(source, incarnation);
      history.receive(source, incarnation, total, now);
    });
    this.knownSources.add(source);
  }

  /**
   * Applies the cumulative demand of all peers in the digest of a relay.
   *
   * @param relay - Name and incarnation of the relay.
   * @param totals - Demand since the relay received the first hint of each peer. Another relay counts
   *   from a different time, so its first totals can't be compared with the last of the previous relay.
   * @param now - Present time.
   */
  receiveRelayed(
    relay: string,
    totals: readonly (PoolDemand & { readonly model: ModelId })[],
    now: Millis,
  ): void {
    if (relay !== this.currentRelay) {
      this.knownSources.delete(RELAYED_SOURCE);
      this.histories.forEach((history) => history.forget(RELAYED_SOURCE));
    }
    this.currentRelay = relay;
    this.receive(RELAYED_SOURCE, relay, totals, now);
  }

  /** Gets the demand on this host since its start, by pool, to be gossiped to its peers. */
  getOwnTotals(): readonly (PoolDemand & { readonly model: ModelId })[] {
    return [...this.own].map(([model, total]) => ({ model, ...total }));
  }

  /** Gets the recent demand on a pool, in buckets of fixed width. */
  getBuckets(model: ModelId, now: Millis): readonly PoolDemand[] {
    return this.histories.get(model)?.getBuckets(now) ?? [];
  }

  /** Gets how long this host's requests may wait on average and still be on time, if any arrived. */
  getOnTimeMs(model: ModelId): Millis | undefined {
    return this.onTimeMs.get(model);
  }

  private historyOf(model: ModelId): DemandHistory {
    const known = this.histories.get(model);
    if (known !== undefined) return known;
    const history = new DemandHistory();
    history.startAtZero(OWN_SOURCE, OWN_SOURCE);
    this.histories.set(model, history);
    return history;
  }
}
