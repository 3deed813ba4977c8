import type { EngineConfig, Millis, Tokens, UpstreamId } from '@camphorvane/core';
import type { LinkLedger } from '../ledger/LinkLedger.ts';
import type { MemoryLedger } from '../ledger/MemoryLedger.ts';
import type { EngineObservation, PoolShape } from '../PoolScheduler.ts';
import type { CacheExpectation } from './CacheExpectation.ts';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import { DecodeBoard } from './DecodeBoard.ts';
import { type EngineState, newEngineState } from './EngineState.ts';
import { PrefillBoard } from './PrefillBoard.ts';

/** Time for which a slow engine gets no new work: some ten steps of a very slow engine. */
const SLOW_PAUSE_MS = 2_000;

/** All engines of the pool, kept in order for both choices as events come in. */
export class EngineTable {
  readonly decode: DecodeBoard;

  readonly prefill: PrefillBoard;

  private readonly engines = new Map<UpstreamId, EngineState>();

  private readonly slow = new IndexedHeap<UpstreamId>();

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

  /** Gets the largest request that any decode engine could hold, in pieces. */
  largestMemory = 0;

  /** Takes a changed pool into force; an engine that changed its role keeps what it runs. */
  reshape(shape: PoolShape): void {
    const kept = new Set(shape.engines.map((cfg) => cfg.id));
    [...this.engines.keys()].filter((id) => !kept.has(id)).forEach((id) => this.remove(id));
    this.decode.setTarget(shape.itlTargetMs);
    this.links.setRate(shape.linkPiecesPerSecond);
    shape.engines.forEach((cfg) => this.put(cfg));
    this.largestMemory = shape.engines
      .filter((cfg) => cfg.role === 'decode')
      .reduce((most, cfg) => Math.max(most, cfg.memoryPieces), 0);
  }

  /** Puts an engine into its places again after its ledger changed. */
  refresh(id: UpstreamId): void {
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    this.decode.refresh(engine);
    this.prefill.refresh(engine);
  }

  /** Notes that a prefill was given to an engine. */
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

  /** Notes that a prefill is over, or was given up. */
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

  /** Gets how many prefills an engine has that are not over. */
  getPrefills(id: UpstreamId): number {
    return this.engines.get(id)?.prefills ?? 0;
  }

  /** Sets whether an engine is to get no new work. */
  setDraining(id: UpstreamId, draining: boolean): void {
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    engine.draining = draining;
    this.refresh(id);
  }

  /** Gets when a slow engine is tried again, if there is one. */
  get nextTrial(): Millis | undefined {
    return this.slow.peekKey();
  }

  /** Gives slow engines work again whose pause is over. */
  endPauses(now: Millis): void {
    let id = this.slow.peek();
    while (id !== undefined && (this.slow.peekKey() ?? Infinity) <= now) {
      this.slow.delete(id);
      const engine = this.engines.get(id);
      if (engine !== undefined) engine.slowUntil = 0;
      this.refresh(id);
      id = this.slow.peek();
    }
  }

  /** Takes in what was seen of an engine; engines that are not in the pool are ignored. */
  observe(seen: EngineObservation, now: Millis): void {
    const engine = this.engines.get(seen.engine);
    if (engine === undefined) return;
    this.apply(engine, seen, now);
    this.refresh(seen.engine);
  }

  private apply(engine: EngineState, seen: EngineObservation, now: Millis): void {
    const known = engine;
    switch (seen.type) {
      case 'load':
        this.memory.report(seen.engine, seen.load.usedPieces);
        break;
      case 'token_interval':
        known.speed.observeInterval(seen.meanMs, seen.streams);
        break;
      case 'prefill_done': {
        // The span includes the wait behind other prefills, which says nothing about the engine.
        const busyMs = Math.min(seen.tookMs, now - known.busySince);
        known.speed.observePrefill(seen.tokens - seen.cachedTokens, busyMs);
        known.busySince = now;
        seen.prefixes.forEach((prefix) => this.cache.stored(seen.engine, prefix.digest, now));
        break;
      }
      case 'failed':
        if (seen.reason === 'down') known.down = true;
        else this.relieve(known, now);
        break;
      case 'recovered':
        known.down = false;
        known.slowUntil = 0;
        this.slow.delete(seen.engine);
        break;
      case 'cache':
        if (seen.change === 'stored') this.cache.stored(seen.engine, seen.digest, now);
        else this.cache.evicted(seen.engine, seen.digest);
        break;
      default:
        seen satisfies never;
    }
  }

  /**
   * Takes new work off an engine for a while. What goes wrong: an engine stalls, its streams stop
   * short of their progress deadlines, and it looks less loaded than the others just because
   * nothing on it moves. It is tried again after the pause.
   */
  private relieve(engine: EngineState, now: Millis): void {
    const relieved = engine;
    relieved.slowUntil = now + SLOW_PAUSE_MS;
    this.slow.set(engine.cfg.id, relieved.slowUntil);
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
    this.slow.delete(id);
    this.decode.remove(id);
    this.prefill.remove(id);
    this.memory.close(id);
    this.links.close(id);
  }
}
