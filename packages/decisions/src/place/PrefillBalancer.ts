import type { Millis, Tokens, UpstreamId, WorkClass } from '@camphorvane/core';
import type { WorkItem } from '../PoolScheduler.ts';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import type { PrefixCacheIndex } from './PrefixCacheIndex.ts';
import { type EngineState, isAvailable } from './EngineState.ts';

/** Maximum number of engines examined per request, besides those with an expected cache hit. */
const MAX_CANDIDATES = 4;

/**
 * Backlog, in milliseconds of prefill work, up to which an engine gets another prefill. Enough to
 * keep it busy while the next placement is on its way; more would move the queue to the engine,
 * where it is not fair across teams, and would hold decode memory meanwhile.
 */
const MAX_BACKLOG_MS = 40;

/** Maximum number of prefills in flight on an engine whose speed is not known yet. */
const MAX_PREFILLS_AT_UNKNOWN_SPEED = 2;

/** A prefill engine chosen for a request. */
export interface PrefillChoice {
  readonly engine: EngineState;
  readonly expectedCachedTokens: Tokens;
  /** Expected time until the prefill ends, in milliseconds; 0 if the engine's speed is not known. */
  readonly readyInMs: Millis;
}

/** Shortest-backlog selection of prefill engines, aware of their prefix caches. */
export class PrefillBalancer {
  private readonly byLookupBacklog = new IndexedHeap<UpstreamId>();

  private readonly byBacklog = new IndexedHeap<UpstreamId>();

  private readonly engines = new Map<UpstreamId, EngineState>();

  constructor(private readonly cache: PrefixCacheIndex) {}

  /** Gets the number of engines that accept new work. */
  get availableCount(): number {
    return this.byBacklog.size;
  }

  /** Tells whether a list contains every prefill engine of the pool, whether up or down. */
  areAllExcluded(ids: readonly UpstreamId[]): boolean {
    if (ids.length === 0) return false;
    return [...this.engines.values()].every(
      ({ cfg }) => cfg.role !== 'prefill' || ids.includes(cfg.id),
    );
  }

  /** Updates the position of an engine after its state, its backlog or its role changed. */
  refresh(engine: EngineState): void {
    const { id, role } = engine.cfg;
    this.engines.set(id, engine);
    if (!isAvailable(engine) || role !== 'prefill') {
      this.byLookupBacklog.delete(id);
      this.byBacklog.delete(id);
      return;
    }
    const rate = engine.speed.getPrefillRate() ?? 1;
    this.byLookupBacklog.set(id, engine.lookupBacklog / rate);
    this.byBacklog.set(id, engine.backlog / rate);
  }

  /** Removes an engine. */
  remove(id: UpstreamId): void {
    this.engines.delete(id);
    this.byLookupBacklog.delete(id);
    this.byBacklog.delete(id);
  }

  /**
   * Chooses the engine on which the prefill is expected to end first.
   *
   * Engines honour priorities, so a lookup waits only behind other lookups, whereas other classes
   * wait behind all prefills. Expected cached tokens count as work that the engine is spared.
   *
   * @param item - The request.
   * @param now - Present time.
   * @returns The engine, or undefined if none of those examined has room.
   */
  choose(item: WorkItem, now: Millis): PrefillChoice | undefined {
    const index = item.class === 'lookup' ? this.byLookupBacklog : this.byBacklog;
    const isUsable = (id: UpstreamId): boolean =>
      !item.avoid.includes(id) && this.hasRoom(this.engines.get(id), item.class);
    const least = index.find(isUsable, MAX_CANDIDATES);
    const cached = this.cache
      .getExpectedHits(item.prefixes, now)
      .filter((hit) => isUsable(hit.engine));
    const cachedTokens = new Map(cached.map((hit) => [hit.engine, hit.tokens]));
    const ids = least === undefined ? [...cachedTokens.keys()] : [least, ...cachedTokens.keys()];
    return ids
      .flatMap((id) => this.toChoice(this.engines.get(id), item, cachedTokens.get(id) ?? 0))
      .reduce<PrefillChoice | undefined>(
        (best, next) => (best === undefined || next.readyInMs < best.readyInMs ? next : best),
        undefined,
      );
  }

  /**
   * Gets the prefill time of a prompt without any backlog, at the speed of the engine with the
   * shortest backlog and with the best expected cache hit of all engines.
   *
   * @param item - The request.
   * @param now - Present time.
   * @returns Milliseconds; 0 if the engine's speed is not known.
   */
  getMinPrefillMs(item: WorkItem, now: Millis): Millis {
    const id = this.byBacklog.peek();
    const rate = id === undefined ? undefined : this.engines.get(id)?.speed.getPrefillRate();
    if (rate === undefined) return 0;
    const cached = this.cache
      .getExpectedHits(item.prefixes, now)
      .reduce((most, hit) => Math.max(most, hit.tokens), 0);
    return Math.max(0, item.promptTokens - cached) / rate;
  }

  private toChoice(
    engine: EngineState | undefined,
    item: WorkItem,
    cached: Tokens,
  ): PrefillChoice[] {
    if (engine === undefined) return [];
    const rate = engine.speed.getPrefillRate();
    const backlog = item.class === 'lookup' ? engine.lookupBacklog : engine.backlog;
    const work = backlog + Math.max(0, item.promptTokens - cached);
    return [
      { engine, expectedCachedTokens: cached, readyInMs: rate === undefined ? 0 : work / rate },
    ];
  }

  private hasRoom(engine: EngineState | undefined, workClass: WorkClass): boolean {
    if (engine === undefined || !isAvailable(engine) || engine.cfg.role !== 'prefill') return false;
    const [count, backlog] =
      workClass === 'lookup'
        ? [engine.inFlightLookupPrefills, engine.lookupBacklog]
        : [engine.inFlightPrefills, engine.backlog];
    const rate = engine.speed.getPrefillRate();
    if (count === 0) return true;
    if (rate === undefined) return count < MAX_PREFILLS_AT_UNKNOWN_SPEED;
    return backlog / rate <= MAX_BACKLOG_MS;
  }
}
