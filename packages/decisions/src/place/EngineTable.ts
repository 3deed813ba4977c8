import type { EngineConfig, Millis, Tokens, UpstreamId } from '@camphorvane/core';
import type { LinkLedger } from '../ledger/LinkLedger.ts';
import type { MemoryLedger } from '../ledger/MemoryLedger.ts';
import type { EngineObservation, PoolShape } from '../PoolScheduler.ts';
import type { CacheExpectation } from './CacheExpectation.ts';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import { DecodeBoard } from './DecodeBoard.ts';
import { type EngineState, newEngineState } from './EngineState.ts';
import { PrefillBoard } from './PrefillBoard.ts';

/** Time for which a slow engine gets no new work; about ten decode steps of a very slow engine. */
const SLOW_PAUSE_MS = 2_000;

/** The engines of a pool; keeps the selection of both roles up to date as events arrive. */
export class EngineTable {
  readonly decode: DecodeBoard;

  readonly prefill: PrefillBoard;

  private readonly engines = new Map<UpstreamId, EngineState>();

  private readonly pauses = new IndexedHeap<UpstreamId>();

  constructor(
    shape: PoolShape,
    private readonly memory: MemoryLedger,
    private readonly links: LinkLedger,
    private readonly cache: CacheExpectation,
  ) {
    this.decode = new DecodeBoard(memory, shape.itlTargetMs);
    this.prefill = new PrefillBoard(cache);
    this.reshape(shape);
  }

  /** Memory of the largest decode engine, in pieces: the largest request that the pool can hold. */
  largestMemory = 0;

  /** Applies a changed pool; an engine that changed its role keeps its running requests. */
  reshape(shape: PoolShape): void {
    const ids = new Set(shape.engines.map((cfg) => cfg.id));
    [...this.engines.keys()].filter((id) => !ids.has(id)).forEach((id) => this.remove(id));
    this.decode.setTarget(shape.itlTargetMs);
    this.links.setRate(shape.linkPiecesPerSecond);
    shape.engines.forEach((cfg) => this.put(cfg));
    this.largestMemory = shape.engines
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
    if (engine.prefills === 0) engine.busySince = now;
    engine.prefills += 1;
    engine.backlog += tokens;
    engine.lookupPrefills += lookup ? 1 : 0;
    engine.lookupBacklog += lookup ? tokens : 0;
    this.prefill.refresh(engine);
  }

  /** Records that a prefill ended or was cancelled. */
  prefillEnded(id: UpstreamId, tokens: Tokens, lookup: boolean): void {
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    engine.prefills = Math.max(0, engine.prefills - 1);
    engine.backlog = engine.prefills === 0 ? 0 : Math.max(0, engine.backlog - tokens);
    engine.lookupPrefills = Math.max(0, engine.lookupPrefills - (lookup ? 1 : 0));
    engine.lookupBacklog =
      engine.lookupPrefills === 0 ? 0 : Math.max(0, engine.lookupBacklog - (lookup ? tokens : 0));
    this.prefill.refresh(engine);
  }

  /** Gets the number of prefills in flight on an engine. */
  getPrefills(id: UpstreamId): number {
    return this.engines.get(id)?.prefills ?? 0;
  }

  /** Sets whether an engine is draining and gets no new work. */
  setDraining(id: UpstreamId, draining: boolean): void {
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    engine.draining = draining;
    this.refresh(id);
  }

  /** Gets when the next pause of a slow engine ends, if any engine is paused. */
  get nextTrial(): Millis | undefined {
    return this.pauses.peekKey();
  }

  /** Lets slow engines whose pause has ended accept work again. */
  endPauses(now: Millis): void {
    let id = this.pauses.peek();
    while (id !== undefined && (this.pauses.peekKey() ?? Infinity) <= now) {
      this.pauses.delete(id);
      const engine = this.engines.get(id);
      if (engine !== undefined) engine.slowUntil = 0;
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
        this.memory.report(observed.engine, observed.load.usedPieces);
        break;
      case 'token_interval':
        state.speed.observeInterval(observed.meanMs, observed.streams);
        break;
      case 'prefill_done': {
        // The reported time includes queueing behind other prefills, which is not engine speed.
        const busyMs = Math.min(observed.tookMs, now - state.busySince);
        state.speed.observePrefill(observed.tokens - observed.cachedTokens, busyMs);
        state.busySince = now;
        observed.prefixes.forEach((prefix) =>
          this.cache.stored(observed.engine, prefix.digest, now),
        );
        break;
      }
      case 'failed':
        if (observed.reason === 'down') state.down = true;
        else this.pause(state, now);
        break;
      case 'recovered':
        state.down = false;
        state.slowUntil = 0;
        this.pauses.delete(observed.engine);
        break;
      case 'cache':
        if (observed.change === 'stored') this.cache.stored(observed.engine, observed.digest, now);
        else this.cache.evicted(observed.engine, observed.digest);
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
    paused.slowUntil = now + SLOW_PAUSE_MS;
    this.pauses.set(engine.cfg.id, paused.slowUntil);
  }

  private put(cfg: EngineConfig): void {
    const engine = this.engines.get(cfg.id) ?? newEngineState(cfg);
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
    this.links.close(id);
  }
}
