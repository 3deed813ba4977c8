import type { Millis, Pieces, Tokens, UpstreamId } from '@camphorvane/core';
import { TOKENS_PER_PIECE } from '@camphorvane/core';
import type { MemoryLedger } from '../ledger/MemoryLedger.ts';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import { type EngineState, isAvailable } from './EngineState.ts';

/** Maximum number of engines examined per index and request, which bounds the cost of a choice. */
const MAX_CANDIDATES = 8;

/**
 * Least-loaded selection of decode engines.
 *
 * Load is taken from the memory ledger rather than from load reports, so that requests placed at
 * the same time spread out instead of all going to the engine that was least loaded at the last
 * report.
 */
export class DecodeBalancer {
  private readonly byLoad = new IndexedHeap<UpstreamId>();

  private readonly byFreeMemory = new IndexedHeap<UpstreamId>();

  private readonly engines = new Map<UpstreamId, EngineState>();

  constructor(
    private readonly ledger: MemoryLedger,
    private itlTargetMs: Millis,
  ) {}

  /** Sets the target inter-token latency, in milliseconds. */
  setItlTarget(itlTargetMs: Millis): void {
    this.itlTargetMs = itlTargetMs;
  }

  /** Gets the number of engines that accept new work. */
  get availableCount(): number {
    return this.byLoad.size;
  }

  /** Gets the memory of the engines that accept new work, in tokens. */
  getAvailableTokens(): Tokens {
    const pieces = [...this.engines.values()]
      .filter(({ cfg }) => this.byLoad.has(cfg.id))
      .reduce((sum, { cfg }) => sum + cfg.memoryPieces, 0);
    return pieces * TOKENS_PER_PIECE;
  }

  /** Tells whether a list contains every decode engine of the pool, whether up or down. */
  areAllExcluded(ids: readonly UpstreamId[]): boolean {
    if (ids.length === 0) return false;
    return [...this.engines.values()].every(
      ({ cfg }) => cfg.role !== 'decode' || ids.includes(cfg.id),
    );
  }

  /** Updates the position of an engine after its state, its reservations or its role changed. */
  refresh(engine: EngineState): void {
    const { id, memoryPieces, role } = engine.cfg;
    this.engines.set(id, engine);
    if (!isAvailable(engine) || role !== 'decode') {
      this.byLoad.delete(id);
      this.byFreeMemory.delete(id);
      return;
    }
    const free = this.ledger.getFree(id);
    const streamLoad = this.ledger.countReservations(id) / this.getStreamLimit(engine);
    this.byLoad.set(id, Math.max(streamLoad, 1 - free / memoryPieces));
    this.byFreeMemory.set(id, -free);
  }

  /** Removes an engine. */
  remove(id: UpstreamId): void {
    this.engines.delete(id);
    this.byLoad.delete(id);
    this.byFreeMemory.delete(id);
  }

  /**
   * Chooses the least loaded engine that has room; if none of those examined has, the one with the
   * most free memory that does.
   *
   * @param pieces - Memory that the request needs.
   * @param reserve - Share of the engine's memory and streams that must stay free, from 0 to 1.
   * @param avoid - Engines that must not be chosen.
   * @param accepts - Further condition on the engine.
   * @returns The engine, or undefined if no examined engine has room.
   */
  choose(
    pieces: Pieces,
    reserve: number,
    avoid: readonly UpstreamId[],
    accepts: (engine: EngineState) => boolean,
  ): EngineState | undefined {
    const fits = (id: UpstreamId): boolean => {
      const engine = this.engines.get(id);
      if (engine === undefined || avoid.includes(id)) return false;
      return this.hasRoom(engine, pieces, reserve) && accepts(engine);
    };
    const id =
      this.byLoad.find(fits, MAX_CANDIDATES) ?? this.byFreeMemory.find(fits, MAX_CANDIDATES);
    return id === undefined ? undefined : this.engines.get(id);
  }

  private hasRoom(engine: EngineState, pieces: Pieces, reserve: number): boolean {
    const { id, memoryPieces } = engine.cfg;
    const free = this.ledger.getFree(id);
    const streams = this.ledger.countReservations(id);
    if (free < pieces) return false;
    if (streams === 0) return true;
    const limit = this.getStreamLimit(engine);
    return streams + 1 <= limit * (1 - reserve) && free - pieces >= memoryPieces * reserve;
  }

  private getStreamLimit(engine: EngineState): number {
    return engine.speed.getStreamLimit(this.itlTargetMs);
  }
}
