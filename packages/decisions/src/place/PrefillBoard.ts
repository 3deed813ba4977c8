import type { Millis, Tokens, UpstreamId, WorkClass } from '@camphorvane/core';
import type { WorkItem } from '../PoolScheduler.ts';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import type { CacheExpectation } from './CacheExpectation.ts';
import { type EngineState, takesWork } from './EngineState.ts';

/** Engines looked at for one request besides those with an expected cache hit. */
const LOOK_AT = 4;

/**
 * Prefill work, in milliseconds, that may wait at an engine besides what runs. Enough that it is
 * never idle between two prefills while a decision travels; more would only move the queue to a
 * place where it is no longer fair, and would hold decode memory meanwhile.
 */
const MAX_WAITING_MS = 40;

/** Prefills given to an engine whose speed is not known yet. */
const MAX_UNKNOWN = 2;

/** A prefill engine chosen for a request. */
export interface PrefillChoice {
  readonly engine: EngineState;
  readonly expectedCachedTokens: Tokens;
  /** Time until the prefill is over, in milliseconds; 0 while the engine's speed is not known. */
  readonly readyInMs: Millis;
}

/** The prefill engines in order of the work that waits for them. */
export class PrefillBoard {
  private readonly byLookups = new IndexedHeap<UpstreamId>();

  private readonly byAll = new IndexedHeap<UpstreamId>();

  private readonly engines = new Map<UpstreamId, EngineState>();

  constructor(private readonly cache: CacheExpectation) {}

  /** Gets how many engines take work. */
  get size(): number {
    return this.byAll.size;
  }

  /** Tells whether a list names every prefill engine of the pool, up or down. */
  areAllIn(ids: readonly UpstreamId[]): boolean {
    if (ids.length === 0) return false;
    return [...this.engines.values()].every(
      ({ cfg }) => cfg.role !== 'prefill' || ids.includes(cfg.id),
    );
  }

  /** Puts an engine into its place in the order, after anything about it has changed. */
  refresh(engine: EngineState): void {
    const { id, role } = engine.cfg;
    this.engines.set(id, engine);
    if (!takesWork(engine) || role !== 'prefill') {
      this.byLookups.delete(id);
      this.byAll.delete(id);
      return;
    }
    const rate = engine.speed.getPrefillRate() ?? 1;
    this.byLookups.set(id, engine.lookupBacklog / rate);
    this.byAll.set(id, engine.backlog / rate);
  }

  /** Takes an engine out. */
  remove(id: UpstreamId): void {
    this.engines.delete(id);
    this.byLookups.delete(id);
    this.byAll.delete(id);
  }

  /**
   * Chooses the engine on which the prompt is ready first.
   *
   * Engines honour priorities, so a lookup looks only at the lookups before it; a summary looks at
   * everything. An expected cache hit counts with its probability against the wait for that engine.
   */
  choose(item: WorkItem, now: Millis): PrefillChoice | undefined {
    const order = item.class === 'lookup' ? this.byLookups : this.byAll;
    const usable = (id: UpstreamId): boolean =>
      !item.avoid.includes(id) && this.hasRoom(this.engines.get(id), item.class);
    const least = order.find(usable, LOOK_AT);
    const cached = this.cache.expect(item.prefixes, now).filter((hit) => usable(hit.engine));
    const tokens = new Map(cached.map((hit) => [hit.engine, hit.tokens]));
    const ids = least === undefined ? [...tokens.keys()] : [least, ...tokens.keys()];
    return ids
      .flatMap((id) => this.rate(this.engines.get(id), item, tokens.get(id) ?? 0))
      .reduce<PrefillChoice | undefined>(
        (best, next) => (best === undefined || next.readyInMs < best.readyInMs ? next : best),
        undefined,
      );
  }

  /** Gets the time for a prompt on the engine with the least work, if it had none, in milliseconds. */
  getLeastMs(item: WorkItem, now: Millis): Millis {
    const id = this.byAll.peek();
    const rate = id === undefined ? undefined : this.engines.get(id)?.speed.getPrefillRate();
    if (rate === undefined) return 0;
    const cached = this.cache
      .expect(item.prefixes, now)
      .reduce((most, hit) => Math.max(most, hit.tokens), 0);
    return Math.max(0, item.promptTokens - cached) / rate;
  }

  private rate(engine: EngineState | undefined, item: WorkItem, cached: Tokens): PrefillChoice[] {
    if (engine === undefined) return [];
    const rate = engine.speed.getPrefillRate();
    const backlog = item.class === 'lookup' ? engine.lookupBacklog : engine.backlog;
    const work = backlog + Math.max(0, item.promptTokens - cached);
    return [
      { engine, expectedCachedTokens: cached, readyInMs: rate === undefined ? 0 : work / rate },
    ];
  }

  private hasRoom(engine: EngineState | undefined, kind: WorkClass): boolean {
    if (engine === undefined || !takesWork(engine) || engine.cfg.role !== 'prefill') return false;
    const [count, backlog] =
      kind === 'lookup'
        ? [engine.lookupPrefills, engine.lookupBacklog]
        : [engine.prefills, engine.backlog];
    const rate = engine.speed.getPrefillRate();
    if (count === 0) return true;
    if (rate === undefined) return count < MAX_UNKNOWN;
    return backlog / rate <= MAX_WAITING_MS;
  }
}
