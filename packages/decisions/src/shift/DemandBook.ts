import type { Incarnation, Millis, ModelId } from '@camphorvane/core';
import { meanMemory, memorySteps } from '../local/meanMemory.ts';
import type { WorkItem } from '../PoolScheduler.ts';
import type { PoolDemand } from './DemandHistory.ts';
import { DemandHistory, NO_DEMAND, sumDemand } from './DemandHistory.ts';

/** Name under which this host's own count is kept. */
const OWN = '';

/** Name under which the count of all hosts that a relay hears is kept. */
const RELAYED = '*';

/** Weight of the newest request in the mean patience; about the last twenty count. */
const PATIENCE_WEIGHT = 0.05;

/** What was asked of all pools, of this host and of its peers. */
export class DemandBook {
  private readonly own = new Map<ModelId, PoolDemand>();

  private readonly histories = new Map<ModelId, DemandHistory>();

  private readonly onTimeMs = new Map<ModelId, Millis>();

  /** Who was heard before; what such a source names for the first time counts from nothing. */
  private readonly heard = new Set<string>();

  private relay = '';

  /** Counts a request that came to this host. */
  asked(model: ModelId, item: WorkItem, now: Millis): void {
    const total = sumDemand(this.own.get(model) ?? NO_DEMAND, {
      requests: 1,
      promptTokens: item.promptTokens,
      memoryTokens: meanMemory(item),
      memorySteps: memorySteps(item),
    });
    this.own.set(model, total);
    this.historyOf(model).receive(OWN, OWN, total, now);
    const patience = item.onTimeMs ?? item.maxWaitMs;
    // A request that is late when it comes says nothing of how long others may wait.
    if (patience <= 0) return;
    const mean = this.onTimeMs.get(model) ?? patience;
    this.onTimeMs.set(model, mean + (patience - mean) * PATIENCE_WEIGHT);
  }

  /**
   * Takes in what was asked of a peer, or of several together.
   *
   * @param source - Who counted.
   * @param incarnation - Its start; a new one counts from zero.
   * @param totals - All that was asked since then, by pool.
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
      if (this.heard.has(source)) history.expect(source, incarnation);
      history.receive(source, incarnation, total, now);
    });
    this.heard.add(source);
  }

  /**
   * Takes in what was asked of all peers that a relay hears.
   *
   * @param relay - The relay and its start.
   * @param totals - All that was asked since it first heard of them; another relay counts from another
   *   time, so its first count can't be compared with the last one of the relay before.
   * @param now - Present time.
   */
  receiveRelayed(
    relay: string,
    totals: readonly (PoolDemand & { readonly model: ModelId })[],
    now: Millis,
  ): void {
    if (relay !== this.relay) {
      this.heard.delete(RELAYED);
      this.histories.forEach((history) => history.forget(RELAYED));
    }
    this.relay = relay;
    this.receive(RELAYED, relay, totals, now);
  }

  /** Gets what was asked of this host since its start, to be told to its peers. */
  getOwn(): readonly (PoolDemand & { readonly model: ModelId })[] {
    return [...this.own].map(([model, total]) => ({ model, ...total }));
  }

  /** Gets what was asked of a pool lately, in short spans. */
  getSpans(model: ModelId, now: Millis): readonly PoolDemand[] {
    return this.histories.get(model)?.getSpans(now) ?? [];
  }

  /** Gets how long requests of this host may wait and still be on time; undefined before the first. */
  getOnTimeMs(model: ModelId): Millis | undefined {
    return this.onTimeMs.get(model);
  }

  private historyOf(model: ModelId): DemandHistory {
    const known = this.histories.get(model);
    if (known !== undefined) return known;
    const history = new DemandHistory();
    history.expect(OWN, OWN);
    this.histories.set(model, history);
    return history;
  }
}
