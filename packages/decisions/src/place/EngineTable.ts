import type { EngineConfig, Millis, Tokens, UpstreamId } from '@camphorvane/core';
import type { LinkLedger } from '../ledger/LinkLedger.ts';
import type { MemoryLedger } from '../ledger/MemoryLedger.ts';
import type { EngineObservation, PoolSchedulerConfig } from '../PoolScheduler.ts';
import type { PrefixCacheIndex } from './PrefixCacheIndex.ts';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import { DecodeBalancer } from './DecodeBalancer.ts';
import { type EngineState, createEngineState } from './EngineState.ts';
import { PrefillBalancer } from './PrefillBalancer.ts';

/** Time for which a slow engine gets no new work; about ten decode steps of a very slow engine. */
const SLOW_PAUSE_MS = 2_000;

/** The engines of a pool; keeps the selection of both roles up to date as events arrive. */
export class EngineTable {
  readonly decode: DecodeBalancer;

  readonly prefill: PrefillBalancer;

  private readonly engines = new Map<UpstreamId, EngineState>();

  private readonly pauses = new IndexedHeap<UpstreamId>();

  constructor(
    poolCfg: PoolSchedulerConfig,
    private readonly memory: MemoryLedger,
    private readonly links: LinkLedger,
    private readonly cache: PrefixCacheIndex,
  ) {
    this.decode = new DecodeBalancer(memory, poolCfg.itlTargetMs);
    this.prefill = new PrefillBalancer(cache);
    this.reconfigure(poolCfg);
  }

  /** Memory of the largest decode engine, in pieces: the largest request that the pool can hold. */
  maxDecodeMemoryPieces = 0;

  /** Applies a changed pool; an engine that changed its role keeps its running requests. */
  reconfigure(poolCfg: PoolSchedulerConfig): void {
    const ids = new Set(poolCfg.engines.map((cfg) => cfg.id));
    [...this.engines.keys()].filter((id) => !ids.has(id)).forEach((id) => this.remove(id));
    this.decode.setItlTarget(poolCfg.itlTargetMs);
    this.links.setBandwidth(poolCfg.linkPiecesPerSecond);
    poolCfg.engines.forEach((cfg) => this.put(cfg));
    this.maxDecodeMemoryPieces = poolCfg.engines
      .filter((cfg) => cfg.role === 'decode')
      .reduce((most, cfg) => Math.max(most, cfg.memoryPieces), 0);
  }

  /** Updates the position of an engine after its reservations changed. */
  refresh(id: UpstreamId): void {
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    this.decode.refresh(engine);
    this.prefill.refresh(engine);
  }

  /** Records that a prefill was dispatched to an engine. */
  prefillStarted(id: UpstreamId, tokens: Tokens, lookup: boolean, now: Millis): void {
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    if (engine.inFlightPrefills === 0) engine.busySince = now;
    engine.inFlightPrefills += 1;
    engine.backlog += tokens;
    engine.inFlightLookupPrefills += lookup ? 1 : 0;
    engine.lookupBacklog += lookup ? tokens : 0;
    this.prefill.refresh(engine);
  }

  /** Records that a prefill ended or was cancelled. */
  prefillEnded(id: UpstreamId, tokens: Tokens, lookup: boolean): void {
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    engine.inFlightPrefills = Math.max(0, engine.inFlightPrefills - 1);
    engine.backlog = engine.inFlightPrefills === 0 ? 0 : Math.max(0, engine.backlog - tokens);
    engine.inFlightLookupPrefills = Math.max(0, engine.inFlightLookupPrefills - (lookup ? 1 : 0));
    engine.lookupBacklog =
      engine.inFlightLookupPrefills === 0
        ? 0
        : Math.max(0, engine.lookupBacklog - (lookup ? tokens : 0));
    this.prefill.refresh(engine);
  }

  /** Gets the number of prefills in flight on an engine. */
  getInFlightPrefills(id: UpstreamId): number {
    return this.engines.get(id)?.inFlightPrefills ?? 0;
  }

  /** Sets whether an engine is draining and gets no new work. */
  setDraining(id: UpstreamId, draining: boolean): void {
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    engine.draining = draining;
    this.refresh(id);
  }

  /** Gets when the next pause of a slow engine ends, if any engine is paused. */
  get nextPauseEnd(): Millis | undefined {
    return this.pauses.peekKey();
  }

  /** Lets slow engines whose pause has ended accept work again. */
  endExpiredPauses(now: Millis): void {
    let id = this.pauses.peek();
    while (id !== undefined && (this.pauses.peekKey() ?? Infinity) <= now) {
      this.pauses.delete(id);
      const engine = this.engines.get(id);
      if (engine !== undefined) engine.pausedUntil = 0;
      this.refresh(id);
      id = this.pauses.peek();
    }
  }

  /** Applies what was observed of an engine; engines outside the pool are ignored. */
  observe(observed: EngineObservation, now: Millis): void {
    const engine = this.engines.get(observed.engine);
    if (engine === undefined) return;
    this.apply(engine, observed, now);
    this.refresh(observed.engine);
  }

  private apply(engine: EngineState, observed: EngineObservation, now: Millis): void {
    const state = engine;
    switch (observed.type) {
      case 'load':
        this.memory.applyLoadReport(observed.engine, observed.load.usedPieces);
        break;
      case 'token_interval':
        state.speed.observeTokenInterval(observed.meanMs, observed.streams);
        break;
      case 'prefill_done': {
        // The reported time includes queueing behind other prefills, which is not engine speed.
        const busyMs = Math.min(observed.tookMs, now - state.busySince);
        state.speed.observePrefill(observed.tokens - observed.cachedTokens, busyMs);
        state.busySince = now;
        observed.prefixes.forEach((prefix) =>
          this.cache.recordStored(observed.engine, prefix.digest, now),
        );
        break;
      }
      case 'failed':
        if (observed.reason === 'down') state.down = true;
        else this.pause(state, now);
        break;
      case 'recovered':
        state.down = false;
        state.pausedUntil = 0;
        this.pauses.delete(observed.engine);
        break;
      case 'cache':
        if (observed.change === 'stored')
          this.cache.recordStored(observed.engine, observed.digest, now);
        else this.cache.recordEvicted(observed.engine, observed.digest);
        break;
      default:
        observed satisfies never;
    }
  }

  /**
   * Stops new work on a slow engine for {@link SLOW_PAUSE_MS}. The streams of a stalled engine miss
   * their progress deadlines, yet it looks less loaded than others because nothing on it advances.
   */
  private pause(engine: EngineState, now: Millis): void {
    const paused = engine;
    paused.pausedUntil = now + SLOW_PAUSE_MS;
    this.pauses.set(engine.cfg.id, paused.pausedUntil);
  }

  private put(cfg: EngineConfig): void {
    const engine = this.engines.get(cfg.id) ?? createEngineState(cfg);
    engine.cfg = cfg;
    this.engines.set(cfg.id, engine);
    this.memory.open(cfg.id, cfg.role === 'decode' ? cfg.memoryPieces : 0);
    this.refresh(cfg.id);
  }

  private remove(id: UpstreamId): void {
    this.engines.delete(id);
    this.pauses.delete(id);
    this.decode.remove(id);
    this.prefill.remove(id);
    this.memory.close(id);
    this.links.remove(id);
  }
}
